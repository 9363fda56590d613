import { connect, createServer } from 'node:net'

import type { AddressInfo, Server, Socket } from 'node:net'

interface Pair {
  near: Socket
  far: Socket
  isSilent: boolean
}

/** Something between two processes that forwards their connections, and can lose track of them. */
export class TcpRelay {
  readonly #server: Server
  readonly #pairs = new Set<Pair>()
  readonly #target: { host: string, port: number }
  #address = ''

  /** `target` is the `host:port` that connections are forwarded to. */
  constructor (target: string) {
    const [host, port] = target.split(':')
    this.#target = { host: host!, port: Number(port) }
    this.#server = createServer({ noDelay: true }, near => this.#handleConnection(near))
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
    this.abortConnections()
    await closed
  }

  /** Makes every open connection silent in both ways for good: neither bytes nor its end pass. */
  setConnectionsSilent (): void {
    for (const pair of this.#pairs) {
      pair.isSilent = true
      pair.near.unpipe(pair.far)
      pair.far.unpipe(pair.near)
    }
  }

  /** Resets every open connection on both sides. */
  abortConnections (): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
  }

  #handleConnection (near: Socket): void {
    const far = connect({ ...this.#target, noDelay: true })
    const pair: Pair = { near, far, isSilent: false }
    this.#pairs.add(pair)
    near.pipe(far)
    far.pipe(near)
    this.#watchEnd(pair, near, far)
    this.#watchEnd(pair, far, near)
  }

  #watchEnd (pair: Pair, socket: Socket, other: Socket): void {
    socket.on('error', () => {})
    socket.on('close', () => {
      if (pair.isSilent && !other.destroyed) return
      other.destroy()
      this.#pairs.delete(pair)
    })
  }
}

/**
 * Starts a relay of TCP connections to `target`, a `host:port`.
 *
 * @example
 * const relay = await startTcpRelay(engine.host.address)
 * relay.setConnectionsSilent()
 */
export async function startTcpRelay (target: string): Promise<TcpRelay> {
  const relay = new TcpRelay(target)
  await relay.open()
  return relay
}
