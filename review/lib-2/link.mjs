// A link between one machine and an address, which can be cut. It keeps to TCP as DEPLOY.md tells it: a connection that is
// opened during a cut is established only after it; bytes that are held up by a cut are sent again at intervals that double
// from 200 ms, as Linux does, and arrive with the first repeat after its end; they are lost if their sender resets the
// connection.
import net from 'node:net'

const FIRST_REPEAT_MS = 200

/** One direction of an established connection. */
class Direction {
  #queue = []
  #timer = null

  constructor (link, to) {
    this.link = link
    this.to = to
  }

  add (deliver) {
    this.#queue.push({ sentAtMs: performance.now(), isHeldUp: this.link.isCut, deliver })
    this.flush()
  }

  drop () {
    this.#queue = []
    clearTimeout(this.#timer)
  }

  flush () {
    clearTimeout(this.#timer)
    while (this.#queue.length > 0 && !this.link.isCut) {
      const [next] = this.#queue
      const waitMs = next.isHeldUp ? computeRepeatAt(next.sentAtMs, this.link.healedAtMs) - performance.now() : 0
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.flush(), waitMs)
        return
      }
      this.#queue.shift()
      next.deliver()
    }
  }
}

/** Computes when bytes that were sent first at `sentAtMs` are repeated for the first time after the link has healed. */
function computeRepeatAt (sentAtMs, healedAtMs) {
  let atMs = sentAtMs
  for (let intervalMs = FIRST_REPEAT_MS; atMs < healedAtMs; intervalMs *= 2) atMs += intervalMs
  return atMs
}

export class Link {
  #server = net.createServer({ allowHalfOpen: true, noDelay: true }, socket => this.#accept(socket))
  #directions = new Set()
  /** Connections that were opened during the cut. */
  #opening = new Set()
  isCut = false
  healedAtMs = -Infinity
  /** Called with the first bytes of each connection, before they are sent on. */
  handleFirstBytes = () => {}

  constructor (target) {
    this.target = target
  }

  async open () {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.#server.address().port}`
  }

  close () {
    this.#server.close()
  }

  cut () {
    this.isCut = true
  }

  heal () {
    this.isCut = false
    this.healedAtMs = performance.now()
    for (const direction of this.#directions) direction.flush()
    for (const establish of [...this.#opening]) establish()
  }

  #accept (client) {
    client.on('error', () => {})
    if (!this.isCut) return this.#establish(client)
    client.pause()
    const establish = () => {
      forget()
      if (!client.destroyed && !client.readableEnded) this.#establish(client)
    }
    // whoever gives up before the connection is established sends nothing
    const forget = () => this.#opening.delete(establish)
    this.#opening.add(establish)
    client.on('close', forget)
  }

  #establish (client) {
    const [host, port] = this.target.split(':')
    const server = net.connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    let isFirst = true
    this.#relay(client, server, bytes => {
      if (isFirst) this.handleFirstBytes(bytes)
      isFirst = false
    })
    this.#relay(server, client, () => {})
  }

  #relay (from, to, handleBytes) {
    const direction = new Direction(this, to)
    this.#directions.add(direction)
    from.on('data', bytes => {
      handleBytes(bytes)
      direction.add(() => { to.write(bytes) })
    })
    from.on('end', () => direction.add(() => { to.end() }))
    from.on('error', () => {
      direction.drop()
      if (!this.isCut) to.resetAndDestroy()
    })
    to.on('close', () => this.#directions.delete(direction))
    from.resume()
  }
}
