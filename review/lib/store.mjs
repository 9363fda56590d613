// Stand-in of the platform's object store: paged lists, long-polling watches, conditional writes.
import http from 'node:http'

const PATH = /^\/tanagerwick\/objects\/([^/?]+)(?:\/([^/?]+))?$/

export class Store {
  #objects = new Map()
  #events = []
  #revision = 1
  #waiters = new Set()
  #server = http.createServer((request, response) => this.#handle(request, response))

  /** Whether calls get no answer. */
  isSilent = false
  /** Milliseconds that each answer takes. */
  answerMs = 4

  async open () {
    this.#server.keepAliveTimeout = 30_000
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.#server.address().port}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  put (kind, name, spec) {
    const key = `${kind}/${name}`
    const known = this.#objects.get(key)
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known
    this.#revision += 1
    const object = { metadata: { name, revision: this.#revision, created: known?.metadata.created ?? this.#revision, finalizers: [], deleting: false }, spec, status: null }
    this.#objects.set(key, object)
    this.#record(kind, object, false)
    return object
  }

  remove (kind, name) {
    const object = this.#objects.get(`${kind}/${name}`)
    if (object === undefined) return
    this.#objects.delete(`${kind}/${name}`)
    this.#revision += 1
    this.#record(kind, { ...object, metadata: { ...object.metadata, revision: this.#revision } }, true)
  }

  #record (kind, object, deleted) {
    this.#events.push({ kind, revision: this.#revision, object, deleted })
    for (const wake of [...this.#waiters]) wake()
  }

  async #handle (request, response) {
    const url = new URL(request.url, 'http://127.0.0.1')
    const match = PATH.exec(url.pathname)
    const parts = []
    try {
      for await (const part of request) parts.push(part)
    } catch {
      return
    }
    if (this.isSilent) return
    await new Promise(resolve => setTimeout(resolve, this.answerMs))
    const send = (status, body) => {
      response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': '0' })
      response.end(JSON.stringify(body))
    }
    if (match === null) return send(404, {})
    const kind = decodeURIComponent(match[1])
    const name = match[2] === undefined ? null : decodeURIComponent(match[2])
    const body = parts.length === 0 ? null : JSON.parse(Buffer.concat(parts).toString())
    const object = name === null ? undefined : this.#objects.get(`${kind}/${name}`)
    const condition = body?.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : null)
    const isConflict = condition !== null && object?.metadata.revision !== condition
    switch (request.method) {
      case 'GET':
        if (name !== null) return object === undefined ? send(404, {}) : send(200, object)
        return url.searchParams.has('watch') ? await this.#watch(kind, url.searchParams, response, send) : this.#list(kind, url.searchParams, send)
      case 'POST': {
        const known = this.#objects.get(`${kind}/${body.metadata.name}`)
        return known === undefined ? send(201, this.put(kind, body.metadata.name, body.spec)) : send(409, known)
      }
      case 'PUT':
        if (object === undefined) return send(404, {})
        return isConflict ? send(409, object) : send(200, this.put(kind, name, body.spec))
      case 'DELETE':
        if (object === undefined) return send(404, {})
        if (isConflict) return send(409, object)
        this.remove(kind, name)
        return send(200, object)
      default:
        return send(405, {})
    }
  }

  #list (kind, query, send) {
    const after = query.get('after') ?? ''
    const items = [...this.#objects].filter(([key, { metadata }]) => key.startsWith(`${kind}/`) && metadata.name > after).map(([, object]) => object)
    items.sort((one, other) => one.metadata.name < other.metadata.name ? -1 : 1)
    send(200, { items: items.slice(0, 500), truncated: items.length > 500, currentRev: this.#revision })
  }

  async #watch (kind, query, response, send) {
    const from = Number(query.get('watch'))
    const untilMs = Date.now() + Number(query.get('waitMs') ?? 0)
    for (;;) {
      const events = this.#events.filter(event => event.kind === kind && event.revision > from)
      if (response.destroyed || this.isSilent) return
      if (events.length > 0 || Date.now() >= untilMs) return send(200, { events: events.map(({ object, deleted }) => ({ object, deleted })), currentRev: this.#revision })
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, untilMs - Date.now())
        this.#waiters.add(wake)
      })
    }
  }
}
