// Preload script for the gateways of a soak: shifts the wall clock by the milliseconds in the file that SOAK_CLOCK_FILE names.
const { readFileSync } = require('node:fs')

const POLL_MS = 50
const file = process.env.SOAK_CLOCK_FILE
const getTrueMs = Date.now
let offsetMs = 0

function readOffset () {
  try {
    offsetMs = Number(readFileSync(file, 'utf8')) || 0
  } catch {
    offsetMs = 0
  }
}

if (file !== undefined) {
  readOffset()
  setInterval(readOffset, POLL_MS).unref()
  Date.now = () => getTrueMs() + offsetMs
}
