// The platform's store with its published protocol: lists, watches and conditional writes over objects.
import http from 'node:http'

import { addCleanup } from './fleet.mjs'

const OBJECT_PATH = /^\/tanagerwick\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/

export class Store {
  constructor () {
    this.objects = new Map()
    this.events = []
    this.revision = 10
    this.watches = new Set()
    this.isDown = false
    this.sockets = new Set()
    /** Called with each write of a gateway: kind, name, spec. */
    this.handleWrite = () => {}
    this.server = http.createServer((request, response) => this.#serve(request, response))
    this.server.keepAliveTimeout = 60_000
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => this.sockets.delete(socket))
    })
    addCleanup(async () => {
      this.server.close()
      this.server.closeAllConnections()
    })
  }

  async open () {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
    return this
  }

  /** Writes an object without a condition, as the operator or a runner does. */
  put (kind, name, spec) {
    const key = `${kind}/${name}`
    this.revision += 1
    const created = this.objects.get(key)?.metadata.created ?? this.revision
    const object = { kind, metadata: { name, revision: this.revision, created, finalizers: [], deleting: false }, spec, status: null }
    this.objects.set(key, object)
    this.#append(object, false)
    return object
  }

  remove (kind, name) {
    const object = this.objects.get(`${kind}/${name}`)
    if (object === undefined) return
    this.objects.delete(`${kind}/${name}`)
    this.revision += 1
    this.#append({ ...object, metadata: { ...object.metadata, revision: this.revision } }, true)
  }

  #append (object, deleted) {
    this.events.push({ revision: this.revision, object, deleted })
    if (this.events.length > 20_000) this.events = this.events.slice(-10_000)
    for (const watch of [...this.watches]) if (watch.kind === object.kind) watch.finish()
  }

  /** Ends the store's service, or begins it again: while it is down, it answers nothing. */
  setDown (isDown) {
    this.isDown = isDown
    for (const watch of [...this.watches]) if (isDown) watch.drop()
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (this.isDown) return
    const url = new URL(request.url, 'http://store')
    const match = OBJECT_PATH.exec(url.pathname)
    if (match === null) return this.#send(response, 404, {})
    const kind = decodeURIComponent(match[1])
    const name = match[2] === undefined ? undefined : decodeURIComponent(match[2])
    const query = url.searchParams
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const existing = name === undefined ? undefined : this.objects.get(`${kind}/${name}`)
    switch (request.method) {
      case 'GET':
        if (name !== undefined) return this.#send(response, existing === undefined ? 404 : 200, existing ?? {})
        if (query.has('watch')) return await this.#watch(response, kind, query)
        return this.#send(response, 200, { items: this.#list(kind), truncated: false, currentRev: this.revision })
      case 'POST': {
        const found = this.objects.get(`${kind}/${body.metadata.name}`)
        if (found !== undefined) return this.#send(response, 409, found)
        this.handleWrite(kind, body.metadata.name, body.spec)
        return this.#send(response, 200, this.put(kind, body.metadata.name, body.spec))
      }
      case 'PUT':
        if (existing === undefined) return this.#send(response, 404, {})
        if (body.metadata?.revision !== undefined && body.metadata.revision !== existing.metadata.revision) return this.#send(response, 409, existing)
        this.handleWrite(kind, name, body.spec)
        if (JSON.stringify(existing.spec) === JSON.stringify(body.spec)) return this.#send(response, 200, existing)
        return this.#send(response, 200, this.put(kind, name, body.spec))
      case 'DELETE':
        if (existing === undefined) return this.#send(response, 404, {})
        if (query.has('revision') && Number(query.get('revision')) !== existing.metadata.revision) return this.#send(response, 409, existing)
        this.remove(kind, name)
        return this.#send(response, 200, {})
      default: return this.#send(response, 405, {})
    }
  }

  #list (kind) {
    return [...this.objects.values()].filter(object => object.kind === kind).sort((one, other) => one.metadata.name < other.metadata.name ? -1 : 1)
  }

  async #watch (response, kind, query) {
    const from = Number(query.get('watch'))
    const find = () => this.events.filter(event => event.revision > from && event.object.kind === kind)
    const oldest = this.events[0]?.revision ?? this.revision + 1
    if (from < oldest - 1 || from > this.revision) return this.#send(response, 410, {})
    if (find().length === 0) {
      const wasDropped = await new Promise(resolve => {
        const end = isDropped => {
          clearTimeout(timer)
          this.watches.delete(watch)
          resolve(isDropped)
        }
        const watch = { kind, finish: () => end(false), drop: () => end(true) }
        const timer = setTimeout(watch.finish, Number(query.get('waitMs') ?? 0))
        this.watches.add(watch)
        response.on('close', watch.finish)
      })
      if (wasDropped || this.isDown) return
    }
    this.#send(response, 200, { events: find().map(({ object, deleted }) => ({ object, deleted })), currentRev: this.revision })
  }

  #send (response, status, value) {
    if (response.destroyed) return
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
  }
}
