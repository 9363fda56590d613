import { connect, createServer } from 'node:net'

import type { AddressInfo, Server, Socket } from 'node:net'

/** Ways from the process that opened a connection, and back to it. */
export type Way = 'forth' | 'back'

interface HeldPart {
  dueAtMs: number
  deliver: () => void
}

/** One way of one connection. */
class Lane {
  readonly #held: HeldPart[] = []
  readonly #isCut: () => boolean
  #timer: NodeJS.Timeout | null = null
  isSilent = false

  constructor (from: Socket, to: Socket, isCut: () => boolean, getDelayMs: () => number) {
    this.#isCut = isCut
    const take = (deliver: () => void) => {
      this.#held.push({ dueAtMs: performance.now() + getDelayMs(), deliver })
      this.flush()
    }
    from.on('data', bytes => take(() => { to.write(bytes) }))
    from.on('end', () => take(() => { to.end() }))
    from.on('close', () => take(() => { to.destroy() }))
    from.on('error', () => take(() => { to.resetAndDestroy() }))
  }

  /** Passes on what is due. */
  flush (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    while (!this.isSilent && !this.#isCut()) {
      const [next] = this.#held
      if (next === undefined) return
      const waitMs = next.dueAtMs - performance.now()
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.flush(), waitMs)
        return
      }
      this.#held.shift()
      next.deliver()
    }
  }
}

interface Pair {
  near: Socket
  far: Socket
  lanes: Record<Way, Lane>
}

/**
 * Forwards the connections to one address on loopback and does to them what networks do: delays,
 * resets, cuts of one way or both, and connections that fall silent for good.
 *
 * @example
 * const proxy = await startFaultProxy('127.0.0.1:7100')
 * proxy.setCut(['back'])
 */
export class FaultProxy {
  readonly #server: Server
  readonly #pairs = new Set<Pair>()
  #target: string
  #cut: readonly Way[] = []
  #delayMs = 0
  #address = ''

  constructor (target: string) {
    this.#target = target
    this.#server = createServer({ noDelay: true, allowHalfOpen: true }, near => this.#handleConnection(near))
  }

  get address (): string {
    return this.#address
  }

  countConnections (): number {
    return this.#pairs.size
  }

  async open (): Promise<void> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    for (const { near, far } of this.#pairs) {
      near.destroy()
      far.destroy()
    }
    await closed
  }

  /** Delays what comes from now on, each way. */
  setDelay (milliseconds: number): void {
    this.#delayMs = milliseconds
  }

  /** Holds back what goes these ways, of open and new connections, until it is called again. */
  setCut (ways: readonly Way[]): void {
    this.#cut = ways
    for (const { lanes } of this.#pairs) for (const lane of Object.values(lanes)) lane.flush()
  }

  abortConnections (): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
  }

  /** Makes the open connections silent for good, their end included; new ones work. */
  setConnectionsSilent (): void {
    for (const { lanes } of this.#pairs) for (const lane of Object.values(lanes)) lane.isSilent = true
  }

  #handleConnection (near: Socket): void {
    const [host, port] = this.#target.split(':')
    const far = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
    const buildLane = (way: Way, from: Socket, to: Socket) => new Lane(from, to, () => this.#cut.includes(way), () => this.#delayMs)
    const pair: Pair = { near, far, lanes: { forth: buildLane('forth', near, far), back: buildLane('back', far, near) } }
    this.#pairs.add(pair)
    const dropPair = () => { if (near.destroyed && far.destroyed) this.#pairs.delete(pair) }
    near.on('close', dropPair)
    far.on('close', dropPair)
  }
}

/** Starts a proxy of the connections to `target`, a `host:port`. */
export async function startFaultProxy (target: string): Promise<FaultProxy> {
  const proxy = new FaultProxy(target)
  await proxy.open()
  return proxy
}
