import net from 'node:net'

import type { AddressInfo, Socket } from 'node:net'

/** A TCP proxy whose open connections can go silent for good while new ones work. */
export class TcpProxy {
  readonly #server: net.Server
  readonly #pairs = new Set<[Socket, Socket]>()
  #connectionCount = 0

  private constructor (target: string) {
    const [host, port] = target.split(':')
    this.#server = net.createServer(near => {
      this.#connectionCount += 1
      const far = net.connect(Number(port), host)
      const pair: [Socket, Socket] = [near, far]
      this.#pairs.add(pair)
      for (const socket of pair) {
        socket.setNoDelay(true)
        socket.on('error', () => {})
        socket.on('close', () => pair.forEach(other => other.destroy()))
      }
      near.pipe(far)
      far.pipe(near)
    })
  }

  /** Starts a proxy before `target`, a `host:port`. */
  static async start (target: string): Promise<TcpProxy> {
    const proxy = new TcpProxy(target)
    await new Promise<void>(resolve => proxy.#server.listen(0, '127.0.0.1', resolve))
    return proxy
  }

  get address (): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  get connectionCount (): number {
    return this.#connectionCount
  }

  /** Stops all open connections from passing bytes, without closing them. */
  setSilent (): void {
    for (const [near, far] of this.#pairs) {
      near.unpipe(far)
      far.unpipe(near)
      near.removeAllListeners('close')
      far.removeAllListeners('close')
      near.resume()
      far.resume()
    }
  }

  close (): void {
    this.#server.close()
    for (const pair of this.#pairs) pair.forEach(socket => socket.destroy())
  }
}
