import net from 'node:net'

import { BoundedMap } from '../base/boundedMap'
import { formatCrashId } from '../policy/crashAttribution'
import { parseAddress } from './endpointAddress'

import type { Clock } from '../base/clock'
import type { EndpointEntry } from '../policy/directEndpoint'

export interface ExitProberOptions {
  clock: Clock
  /** Called when nothing listens at the endpoint's address any more. */
  handleRefused: (entry: EndpointEntry) => void
}

/** Milliseconds for a connection to be established; a machine that does not answer shows nothing about its process. */
const CONNECT_TIMEOUT_MS = 250
/** Minimum milliseconds between two probes of an endpoint, some of whose connections may break while it lives. */
const PROBE_INTERVAL_MS = 500
const MAX_OPEN_PROBES = 32
const MAX_ENDPOINTS = 1024

/**
 * Finds out whether an endpoint has ended, after one of its connections broke. An end is then known within
 * milliseconds, and not only when a later request happens to be sent there or the endpoint's entry lapses.
 */
export class ExitProber {
  readonly #options: ExitProberOptions
  readonly #probedAtMs = new BoundedMap<string, number>(MAX_ENDPOINTS)
  readonly #sockets = new Set<net.Socket>()

  constructor (options: ExitProberOptions) {
    this.#options = options
  }

  /** Opens a connection to the endpoint and closes it again. */
  probe (entry: EndpointEntry): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    const key = formatCrashId(entry)
    if (nowMs - (this.#probedAtMs.get(key) ?? -Infinity) < PROBE_INTERVAL_MS || this.#sockets.size >= MAX_OPEN_PROBES) return
    this.#probedAtMs.set(key, nowMs)
    const [host, port] = parseAddress(entry.address)
    const socket = net.connect({ host, port })
    this.#sockets.add(socket)
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy())
    socket.once('connect', () => socket.destroy())
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') this.#options.handleRefused(entry)
    })
    socket.once('close', () => this.#sockets.delete(socket))
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
  }
}
