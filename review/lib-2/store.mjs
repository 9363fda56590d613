// Stand-in of the platform: its object store and its usage interface, as PROTOCOL.md and NEWS.md tell them.
import http from 'node:http'

const OBJECTS = '/tanagerwick/objects/'

export class Platform {
  #objects = new Map()
  #history = []
  #revision = 100
  /** Revision after which the history begins. */
  #firstRevision = 0
  #era = 0
  #outage = 'none'
  #held = new Set()
  #watches = new Set()
  #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy())
  })

  /** Calls of duties, in the order of their arrival. */
  usageCalls = []
  /** Called with each usage call. */
  handleUsage = () => {}
  /** Called with each write of an object. */
  handleWrite = () => {}

  async open () {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.#server.address().port}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** `none` or `silent`: calls, also those that wait, get no answer and take no effect. */
  setOutage (outage) {
    this.#outage = outage
    if (outage === 'none') {
      for (const response of this.#held) response.destroy()
      this.#held.clear()
    }
  }

  /** Takes a copy of all objects, as a backup does. */
  takeCopy () {
    return { objects: structuredClone([...this.#objects]), revision: this.#revision }
  }

  /** Comes back from a copy: what was written since is gone, revisions are given out again, and the era rises. */
  restore ({ objects, revision }) {
    this.#objects = new Map(structuredClone(objects))
    this.#revision = revision
    this.#history = []
    this.#firstRevision = revision
    this.#era += 1
    for (const wake of [...this.#watches]) wake()
  }

  get (key) {
    return this.#objects.get(key) ?? null
  }

  put (key, spec) {
    const [kind, name] = splitKey(key)
    const known = this.#objects.get(key)
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known
    this.#revision += 1
    const object = { metadata: { name, revision: this.#revision, created: known?.metadata.created ?? this.#revision, finalizers: [], deleting: false }, spec, status: {} }
    this.#objects.set(key, object)
    this.#append(kind, object, false)
    this.handleWrite(key, object)
    return object
  }

  remove (key) {
    const known = this.#objects.get(key)
    if (known === undefined) return
    this.#objects.delete(key)
    this.#revision += 1
    this.#append(splitKey(key)[0], { ...known, metadata: { ...known.metadata, revision: this.#revision } }, true)
  }

  #append (kind, object, deleted) {
    this.#history.push({ revision: this.#revision, kind, event: { object, deleted } })
    for (const wake of [...this.#watches]) wake()
  }

  async #handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const body = await readBody(request)
    if (url.pathname === '/usage') return this.#recordUsage(request, response, JSON.parse(body))
    if (this.#outage === 'silent') return this.#held.add(response)
    if (!url.pathname.startsWith(OBJECTS)) return this.#send(response, 404, {})
    const [kind, name] = url.pathname.slice(OBJECTS.length).split('/').map(decodeURIComponent)
    if (request.method === 'GET' && name === undefined) {
      return url.searchParams.has('watch') ? await this.#watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('waitMs')), response) : this.#list(kind, response)
    }
    if (request.method === 'GET') {
      const object = this.get(`${kind}/${name}`)
      return this.#send(response, object === null ? 404 : 200, object ?? {})
    }
    return this.#write(request.method, kind, name, url, body, response)
  }

  #write (method, kind, name, url, body, response) {
    const input = body === '' ? { metadata: {} } : JSON.parse(body)
    const key = `${kind}/${name ?? input.metadata.name}`
    const known = this.get(key)
    const revision = input.metadata.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : null)
    if (method === 'POST' && known !== null) return this.#send(response, 409, known)
    if (method !== 'POST' && known === null) return this.#send(response, 404, {})
    if (revision !== null && revision !== known?.metadata.revision) return this.#send(response, 409, known ?? {})
    if (method === 'DELETE') {
      this.remove(key)
      return this.#send(response, 200, {})
    }
    this.#send(response, 200, this.put(key, input.spec))
  }

  #list (kind, response) {
    const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
    items.sort((one, other) => one.metadata.name < other.metadata.name ? -1 : 1)
    this.#send(response, 200, { items, truncated: false, currentRev: this.#revision })
  }

  async #watch (kind, after, waitMs, response) {
    const era = this.#era
    const find = () => this.#history.filter(entry => entry.revision > after && entry.kind === kind)
    if (after > this.#revision || after < this.#firstRevision) return this.#send(response, 410, {})
    if (find().length === 0) {
      await new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer)
          this.#watches.delete(wake)
          resolve()
        }
        const wake = () => { if (find().length > 0 || this.#era !== era) finish() }
        const timer = setTimeout(finish, waitMs)
        this.#watches.add(wake)
        response.on('close', finish)
      })
    }
    if (this.#outage === 'silent') return this.#held.add(response)
    if (this.#era !== era) return this.#send(response, 410, {})
    this.#send(response, 200, { events: find().map(({ event }) => event), currentRev: this.#revision })
  }

  #recordUsage (request, response, { window, counts }) {
    const call = { atMs: performance.now(), holder: request.headers['tanagerwick-duty-holder'], number: Number(request.headers['tanagerwick-fencing-token']), window, counts }
    this.usageCalls.push(call)
    this.handleUsage(call)
    this.#send(response, 200, {})
  }

  #send (response, status, body) {
    if (response.destroyed) return
    const text = JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'store-era': String(this.#era) }).end(text)
  }
}

function splitKey (key) {
  const slash = key.indexOf('/')
  return [key.slice(0, slash), key.slice(slash + 1)]
}

async function readBody (request) {
  const parts = []
  for await (const part of request) parts.push(part)
  return Buffer.concat(parts).toString('utf8')
}
