// Stand-in of a runner: node runner.mjs PORT ID VERSION [--end-inside N]. It answers streams, one event each --gap-ms, and plain requests.
import { once } from 'node:events'
import http from 'node:http'
import { parseArgs } from 'node:util'

const { positionals: [port, id, version], values } = parseArgs({
  allowPositionals: true,
  options: { 'gap-ms': { type: 'string', default: '60' }, events: { type: 'string', default: '50' }, 'work-ms': { type: 'string', default: '15' }, 'end-inside': { type: 'string' } }
})
const gapMs = Number(values['gap-ms'])
const eventCount = Number(values.events)
/** Number of the event within which streams end, with their framing intact; null for whole streams. */
const endInside = values['end-inside'] === undefined ? null : Number(values['end-inside'])

const server = http.createServer({ keepAliveTimeout: 20_000 }, (request, response) => {
  serve(request, response).catch(() => response.destroy())
})
server.listen(Number(port), '127.0.0.1', () => log({ listening: Number(port) }))

async function serve (request, response) {
  request.resume()
  await once(request, 'end')
  const requestId = request.headers['tanagerwick-request-attempt-id'] ?? ''
  const expected = request.headers['tanagerwick-expect-runner']
  response.setHeader('Tanagerwick-Request-Attempt-Id', requestId)
  if (requestId === '' || (expected !== undefined && expected !== id)) {
    return response.writeHead(requestId === '' ? 400 : 421, { 'Tanagerwick-Not-Executed': '1', 'content-length': 0 }).end()
  }
  const after = request.headers['last-event-id'] === undefined ? 0 : Number(request.headers['last-event-id'])
  log({ runs: requestId, after })
  response.setHeader('Tanagerwick-Runner-Seal', `${id}.${version}.${requestId}`)
  if (!request.url.includes('/stream/')) {
    await sleep(Number(values['work-ms']))
    const body = `answer to ${requestId}\n`
    return response.writeHead(200, { 'content-length': body.length }).end(body)
  }
  await sleep(Number(values['work-ms']))
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  for (let event = after + 1; event <= eventCount && !response.destroyed; event++) {
    const text = `id: ${event}\ndata: ${requestId} ${event} of ${eventCount} by ${version}\n\n`
    if (event === endInside) {
      log({ endsInside: requestId, event })
      return response.end(text.slice(0, Math.floor(text.length / 2)))
    }
    response.write(text)
    await sleep(gapMs)
  }
  response.end()
}

function sleep (ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function log (line) {
  process.stdout.write(`${JSON.stringify(line)}\n`)
}
