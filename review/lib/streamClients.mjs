// Clients of streams, in a process of their own, so that what they have to read does not slow the other clients.
// argv[2]: JSON { gateways: [{ name, callers }], path, playMs, intervalMs, deadlineMs, patienceMs }
import { writeSync } from 'node:fs'
import http from 'node:http'

const { gateways, path, playMs, intervalMs, deadlineMs, patienceMs } = JSON.parse(process.argv[2])
let sent = 0

function openStream (gateway) {
  sent += 1
  const requestId = `5${sent.toString(16).padStart(5, '0')}${Math.random().toString(16).slice(2, 12).padEnd(10, '0')}`
  const body = `prompt ${sent}`
  const request = http.request({
    host: '127.0.0.1',
    port: gateway.callers,
    method: 'POST',
    path,
    agent: false,
    headers: { Host: 'review.example', 'Tanagerwick-Request-Attempt-Id': requestId, 'Tanagerwick-Request-Deadline-Ms': String(deadlineMs), 'Api-Key': 'key-a', 'Tanagerwick-Model-Name': 'm', 'Content-Length': body.length }
  })
  let bytes = 0
  let events = 0
  let hasEnded = false
  const finish = (status, end) => {
    if (hasEnded) return
    hasEnded = true
    clearTimeout(patience)
    writeSync(1, `${JSON.stringify({ requestId, gateway: gateway.name, status, events, bytes, end })}\n`)
  }
  // a sound client gives a stream up after a gap without an event
  const handleGap = () => {
    finish(0, 'given up')
    request.destroy()
  }
  let patience = setTimeout(handleGap, patienceMs)
  request.on('error', error => finish(0, error.code))
  request.on('response', response => {
    response.on('data', chunk => {
      bytes += chunk.length
      // events of this play have an id each; long chunks hold none
      if (chunk.length > 4096 || !chunk.includes('id: ')) return
      events += 1
      clearTimeout(patience)
      patience = setTimeout(handleGap, patienceMs)
    })
    response.on('end', () => finish(response.statusCode, response.complete ? 'complete' : 'cut'))
    response.on('error', error => finish(response.statusCode, error.code))
  })
  request.end(body)
}

const timer = setInterval(() => { for (const gateway of gateways) openStream(gateway) }, intervalMs)
setTimeout(() => clearInterval(timer), playMs)
