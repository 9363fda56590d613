// Preloaded into the processes of a soak: shifts the time of day by the milliseconds that a file holds.
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
