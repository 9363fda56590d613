// Stand-in of a runner, a process of its own. Serves event streams and plain answers, and reports itself to the store.
// argv[2]: JSON { id, port, service, zone, version, storeUrl, heartbeatMs, framing: 'chunked' | 'none', events, intervalMs, answerMs }
import { writeSync } from 'node:fs'
import http from 'node:http'

const options = JSON.parse(process.argv[2])
const { id, port, service, zone, version, storeUrl, heartbeatMs, framing, intervalMs, answerMs } = options
/** Answers are broken off in spells. */
const SPELL = { everyMs: 6000, forMs: 5000 }
const born = Date.now()
/** Share of the answers to spoil; every so many. */
const spoilEvery = options.spoil > 0 ? Math.round(1 / options.spoil) : Infinity
const breakEvery = options.breakOff > 0 ? Math.round(1 / options.breakOff) : Infinity
let answers = 0
let seq = 0
let state = 'ready'

function report (event) {
  writeSync(1, `${JSON.stringify({ runner: id, at: Date.now(), ...event })}\n`)
}

async function writeEntry () {
  seq += 1
  const coldRemainingMs = Math.max(0, (options.coldMs ?? 0) - (Date.now() - born))
  const spec = { service, address: `127.0.0.1:${port}`, zone, version, slots: 64, state, coldRemainingMs, seq, born }
  const call = (method, path, metadata) => fetch(`${storeUrl}/tanagerwick/objects/${path}`, { method, headers: { 'content-type': 'application/json' }, body: JSON.stringify({ metadata, spec }) })
  const written = await call('PUT', `servers/${id}`, { name: id })
  if (written.status === 404) await call('POST', 'servers', { name: id })
}

function formatEvent (number) {
  return `id: ${number}\ndata: piece ${number}\n\n`
}

/** The whole body of a plain answer. */
function buildBody (requestId) {
  return `answer to ${requestId} ${'.'.repeat(760)} end`
}

function sleep (milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Writes bytes that are no events until the caller closes. */
function writeEndlessly (socket, isChunked, text) {
  const bytes = Buffer.from(text.repeat(Math.ceil(16_384 / text.length)))
  const piece = isChunked ? Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')]) : bytes
  const pump = () => {
    while (!socket.destroyed && socket.write(piece));
  }
  socket.on('drain', pump)
  pump()
}

async function serveStream (request, socket, head) {
  const requestId = request.headers['tanagerwick-request-attempt-id']
  const total = Number(new URL(request.url, 'http://127.0.0.1').searchParams.get('events'))
  const first = Number(request.headers['last-event-id'] ?? 0) + 1
  report({ event: 'began', requestId, first, total, version })
  const isChunked = framing === 'chunked'
  const write = text => { if (!socket.destroyed) socket.write(isChunked ? `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n` : text) }
  socket.write(`${head}Content-Type: text/event-stream\r\n${isChunked ? 'Transfer-Encoding: chunked' : 'Connection: close'}\r\n\r\n`)
  answers += 1
  if (options.endless !== undefined) return writeEndlessly(socket, isChunked, options.endless)
  const isSpoiled = answers % spoilEvery === 0
  for (let number = first; number <= total; number++) {
    await sleep(intervalMs)
    if (socket.destroyed) return report({ event: 'dropped', requestId, last: number - 1 })
    if (isSpoiled && number === first + 5) {
      // two pieces, then the second one again
      write(formatEvent(number) + formatEvent(number + 1) + formatEvent(number + 1))
      report({ event: 'spoiled', requestId, number })
      number += 1
      continue
    }
    write(formatEvent(number))
  }
  report({ event: 'ended', requestId, last: total })
  if (isChunked) socket.write('0\r\n\r\n')
  else socket.end()
}

/** Answers without a length; the answer ends with its channel. Every so many answers are broken off with a reset. */
function answerUnframed (requestId, socket, headers, response) {
  response.detachSocket(socket)
  answers += 1
  const isBroken = answers % breakEvery === 0 && (Date.now() - born) % SPELL.everyMs < SPELL.forMs
  const body = buildBody(requestId)
  const head = `HTTP/1.1 200 OK\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}Connection: close\r\n\r\n`
  report({ event: isBroken ? 'brokenOff' : 'ended', requestId })
  if (!isBroken) return socket.end(head + body)
  socket.write(head + body.slice(0, body.length / 2))
  socket.resetAndDestroy()
}

const server = http.createServer((request, response) => {
  const { socket } = request
  const requestId = request.headers['tanagerwick-request-attempt-id']
  // this stand-in writes its answers itself
  request.on('error', () => {})
  request.on('end', () => {
    const expected = request.headers['tanagerwick-expect-runner']
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'Tanagerwick-Request-Attempt-Id': requestId, 'Tanagerwick-Not-Executed': '1' })
      return response.end()
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'Tanagerwick-Runner-Id': id })
      return response.end()
    }
    const path = new URL(request.url, 'http://127.0.0.1').pathname
    const headers = { 'Tanagerwick-Request-Attempt-Id': requestId, 'Tanagerwick-Runner-Seal': `seal-${requestId}`, 'Tanagerwick-Weight-Versions': '1', ...options.headers }
    if (path.startsWith('/stream')) {
      response.detachSocket(socket)
      const head = `HTTP/1.1 200 OK\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}`
      serveStream(request, socket, head).catch(() => socket.destroy())
      return
    }
    report({ event: 'began', requestId, method: request.method, bytes: Number(request.headers['content-length'] ?? 0) })
    setTimeout(() => {
      if (framing === 'none') return answerUnframed(requestId, socket, headers, response)
      const body = buildBody(requestId)
      response.writeHead(200, { ...headers, 'Content-Length': body.length })
      response.end(body)
      report({ event: 'ended', requestId })
    }, answerMs)
  })
  request.resume()
})
server.keepAliveTimeout = 30_000
server.on('connection', socket => socket.on('error', () => {}))

/** Leaves as planned: reports that it is draining, serves for `drainMs` after that, removes its entry and exits. */
async function leave () {
  state = 'draining'
  clearInterval(heartbeatTimer)
  await writeEntry()
  report({ event: 'draining' })
  await sleep(options.drainMs + 100)
  await fetch(`${storeUrl}/tanagerwick/objects/servers/${id}`, { method: 'DELETE' })
  report({ event: 'left' })
  process.exit(0)
}

let heartbeatTimer
process.once('SIGTERM', () => leave().catch(() => process.exit(1)))
server.listen(port, '127.0.0.1', () => {
  report({ event: 'listening', port })
  writeEntry().catch(() => {})
  heartbeatTimer = setInterval(() => writeEntry().catch(() => {}), heartbeatMs)
})
