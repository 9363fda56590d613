// A runner of a service with its published protocol. It registers itself in the store and renews its entry.
import http from 'node:http'

import { addCleanup, findPorts, HEARTBEAT_MS, record } from './fleet.mjs'

const LAPSE_MS = 3 * HEARTBEAT_MS

export class Runner {
  /**
   * @param serve handles a request that is for this runner: (request, response, runner)
   */
  constructor ({ store, id, service, zone, version = '1', slots = 64, serve }) {
    Object.assign(this, { store, id, service, zone, version, slots, serve })
    this.state = 'ready'
    this.seq = 0
    this.isCut = false
    this.server = null
    this.sockets = new Set()
    this.lapseTimer = null
    addCleanup(async () => {
      clearInterval(this.timer)
      clearTimeout(this.lapseTimer)
      this.crash()
    })
  }

  /** Starts the runner's process; at its address again, once it had one. */
  async start () {
    this.port ??= (await findPorts(1))[0]
    this.born = Date.now()
    this.state = 'ready'
    this.server = http.createServer({ keepAliveTimeout: 10_000 }, (request, response) => this.#handle(request, response))
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => this.sockets.delete(socket))
    })
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(this.port, '127.0.0.1', resolve))
    record(this.id, `started, software version ${this.version}, born ${this.born}`)
    this.beat()
    clearInterval(this.timer)
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS)
    return this
  }

  get address () {
    return `127.0.0.1:${this.port}`
  }

  /** Writes the runner's entry, unless it does not reach the store. The store removes an entry that is not renewed. */
  beat () {
    if (this.isCut || this.server === null || this.store.isDown) return
    this.seq += 1
    this.store.put('servers', this.id, { service: this.service, address: this.address, zone: this.zone, version: this.version, slots: this.slots, state: this.state, coldRemainingMs: 0, seq: this.seq, born: this.born })
    clearTimeout(this.lapseTimer)
    this.lapseTimer = setTimeout(() => {
      record('store', `the entry of ${this.id} lapses`)
      this.store.remove('servers', this.id)
    }, LAPSE_MS)
  }

  /** Cuts the runner off from the store, or ends the cut. */
  setCut (isCut) {
    record(this.id, isCut ? 'cut off from the store' : 'reaches the store again')
    this.isCut = isCut
    this.beat()
  }

  /** Ends the runner's process: all its channels are reset, and nothing listens at its address. */
  crash () {
    if (this.server === null) return
    record(this.id, 'crashes')
    this.server.close()
    this.server = null
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  #handle (request, response) {
    if (request.headers['tanagerwick-expect-runner'] !== undefined && request.headers['tanagerwick-expect-runner'] !== this.id) {
      record(this.id, `answers 421 to ${request.headers['tanagerwick-request-attempt-id']}`)
      request.resume()
      response.writeHead(421, { 'Tanagerwick-Not-Executed': '1', 'Tanagerwick-Request-Attempt-Id': request.headers['tanagerwick-request-attempt-id'] ?? '', 'content-length': 0 }).end()
      return
    }
    if (request.method === 'GET' && request.url === '/health') {
      response.writeHead(200, { 'Tanagerwick-Runner-Id': this.id, 'content-length': 0 }).end()
      return
    }
    this.serve(request, response, this)
  }
}

/** Headers of each answer of a runner. */
export function buildAnswerHeaders (request, runner) {
  return {
    'Tanagerwick-Request-Attempt-Id': request.headers['tanagerwick-request-attempt-id'],
    'Tanagerwick-Runner-Seal': `seal.${runner.id}.${request.headers['tanagerwick-request-attempt-id']}`,
    'Tanagerwick-Weight-Versions': '1'
  }
}

/** Serves a stream: events with rising ids, which name the runner and its software version. */
export function serveStream ({ events, gapMs }) {
  return (request, response, runner) => {
    request.resume()
    const id = request.headers['tanagerwick-request-attempt-id']
    const lastId = Number(request.headers['last-event-id'] ?? 0)
    const { version } = runner
    record(runner.id, `runs ${id} at version ${version}${lastId > 0 ? ` from after event ${lastId}` : ''}`)
    response.writeHead(200, { ...buildAnswerHeaders(request, runner), 'content-type': 'text/event-stream' })
    let next = lastId + 1
    const send = () => {
      response.write(`id: ${next}\ndata: ${runner.id} ${version} ${next}\n\n`)
      next += 1
      if (next <= events) return
      clearInterval(timer)
      response.end()
    }
    const timer = setInterval(send, gapMs)
    response.on('close', () => {
      clearInterval(timer)
      record(runner.id, `${response.writableFinished ? 'has ended' : 'is cut off from'} ${id} after event ${next - 1}`)
    })
  }
}
