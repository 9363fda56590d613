import { readdirSync, readFileSync } from 'node:fs'
import net from 'node:net'

import type { Socket } from 'node:net'

export interface CrowdOptions {
  port: number
  /** Returns what the connection with this index sends; a generator, so that it takes no memory. */
  buildPieces: (index: number) => Iterable<Buffer>
  /** Whether answers are read. */
  isReading: boolean
  /** Milliseconds between two pieces; without them, pieces are sent as fast as they are read. */
  pauseMs?: number
}

const SETTLE_POLL_MS = 100
/** Checks in a row without a byte sent after which the crowd has done what it can. */
const QUIET_CHECKS = 15
const MAX_CHECKS = 250
const BYTES_PER_KB = 1024

/** Callers that send what they like, as far as they are read, and stay open until they are closed here. */
export class Crowd {
  readonly #sockets: Socket[] = []
  #pieces = 0
  #closed = 0

  /** Opens one more caller for each index. */
  open (count: number, options: CrowdOptions): void {
    for (let index = 0; index < count; index++) this.#openOne(options, index)
  }

  /** Waits until the callers have sent all that is read of them, or are closed. */
  async waitUntilQuiet (): Promise<void> {
    let quietChecks = 0
    let last = ''
    for (let checks = 0; checks < MAX_CHECKS && quietChecks < QUIET_CHECKS; checks++) {
      await new Promise(resolve => setTimeout(resolve, SETTLE_POLL_MS))
      const sent = `${this.#pieces} ${this.#closed} ${this.#sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0)}`
      quietChecks = sent === last ? quietChecks + 1 : 0
      last = sent
    }
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
  }

  #openOne ({ port, buildPieces, isReading, pauseMs }: CrowdOptions, index: number): void {
    const socket = net.connect(port, '127.0.0.1')
    this.#sockets.push(socket)
    const pieces = buildPieces(index)[Symbol.iterator]()
    const writeMore = (): void => {
      while (!socket.destroyed && socket.writable) {
        const { value, done } = pieces.next()
        if (done === true) return
        this.#pieces += 1
        const isFlowing = socket.write(value as Buffer)
        if (pauseMs !== undefined) setTimeout(writeMore, pauseMs).unref()
        if (!isFlowing || pauseMs !== undefined) return
      }
    }
    socket.on('connect', writeMore)
    if (pauseMs === undefined) socket.on('drain', writeMore)
    socket.on('error', () => {})
    socket.on('close', () => { this.#closed += 1 })
    if (isReading) socket.resume()
  }
}

/** Returns the most memory that a process has had resident, in MB. */
export function readPeakMemoryMb (pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / BYTES_PER_KB
}

/** Counts the open file descriptors of a process. */
export function countDescriptors (pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length
}
