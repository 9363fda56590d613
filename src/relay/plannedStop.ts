import { systemClock } from '../base/clock'
import { waitForPendingInput } from '../base/pendingInput'
import { buildStopWindow, canSendBeforeStop } from '../policy/stopWindow'
import { waitFor } from '../store/channels'

import type { DecisionLog } from '../base/decisionLog'
import type { StopSignalTime, StopWindow } from '../policy/stopWindow'
import type { Refusal } from '../protocol/errorBody'
import type { DirectRelay } from './directRelay'
import type { Dispatcher } from './dispatcher'
import type { LimitCoordinator } from './limitCoordinator'
import type { PeerNetwork } from './peerNetwork'
import type { RelayRequest } from './relayRequest'
import type { RelayServer } from './relayServer'

export interface PlannedStopOptions {
  /** When the signal came. */
  signal: StopSignalTime
  /** Milliseconds until the platform ends the process. */
  stopMs: number
  server: RelayServer
  relay: DirectRelay
  dispatcher: Dispatcher
  limits: LimitCoordinator
  peers: PeerNetwork
  log: DecisionLog
}

/** Milliseconds until the balancer has noticed that the process is not ready: two checks a second apart, and their answers. */
const ROTATION_DELAY_MS = 2400
/** Milliseconds of Retry-After of a gateway that stops; others serve. */
const STOP_RETRY_AFTER_MS = 10
const POLL_MS = 25

/**
 * The planned stop of a gateway. It leaves the balancer's rotation while it continues to serve, then lets requests
 * in flight finish within the stop time. Requests that might not end in time are refused, however they arrive.
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions
  readonly #window: StopWindow

  constructor (options: PlannedStopOptions) {
    this.#options = options
    this.#window = buildStopWindow(options.signal, options.stopMs)
  }

  /** Returns the refusal of a request that might not end before the process does; null when it may be sent. */
  check ({ route, deadlineAtMs }: RelayRequest): Refusal | null {
    if (canSendBeforeStop({ kind: route.kind, deadlineAtMs }, this.#window, systemClock.getMonotonicMs())) return null
    return { code: 'draining', message: 'This gateway stops, and the request might not end before.', execution: 'not_run', retryAfterMs: STOP_RETRY_AFTER_MS }
  }

  /**
   * Runs the stop. Requests that still run at its end are cut. Resolves once the callers have closed their connections,
   * which shows that they have their replies, and before the platform ends the process.
   */
  async run (): Promise<void> {
    const { signal, stopMs, server, relay, dispatcher, limits, peers, log } = this.#options
    const { sendUntilMs, finishAtMs, deliverUntilMs } = this.#window
    const refuseHeld = () => this.#runStep(() => relay.refuseHeld())
    refuseHeld()
    const refuseTimer = setTimeout(refuseHeld, getRemainingMs(sendUntilMs))
    this.#runStep(() => limits.startLeaving())
    peers.startLeaving().catch(error => log.writeError(error))
    this.#runStep(() => server.startLeaving())
    await waitFor(Math.min(ROTATION_DELAY_MS, stopMs / 3, getRemainingMs(finishAtMs)))
    // the system resets connections that were not accepted yet
    await waitForPendingInput()
    this.#runStep(() => server.stopAccepting())
    while (server.countBusy() > 0 && getRemainingMs(finishAtMs) > 0) await waitFor(POLL_MS)
    if (dispatcher.listServices().some(({ waiting }) => waiting > 0)) {
      this.#runStep(() => dispatcher.refuseAll())
      await waitFor(POLL_MS)
    }
    clearTimeout(refuseTimer)
    const cutRequests = this.#runStep(() => server.abortReplies()) ?? 0
    while (server.countConnections() > 0 && getRemainingMs(deliverUntilMs) > 0) await waitFor(POLL_MS)
    // a request that was read after the first cut has no reply either
    const cutLate = this.#runStep(() => server.abortReplies()) ?? 0
    const unwritten = this.#runStep(() => server.reportUnwritten()) ?? 0
    log.write('notable', { event: 'drained', cutRequests: cutRequests + cutLate, unwritten, openConnections: server.countConnections(), elapsedMs: Math.round(systemClock.getMonotonicMs() - signal.earliestMs) })
  }

  /** Runs one step; an error in it must not end the stop, and with it the process, while requests run. */
  #runStep<T> (step: () => T): T | null {
    try {
      return step()
    } catch (error) {
      this.#options.log.writeError(error)
      return null
    }
  }
}

function getRemainingMs (untilMs: number): number {
  return Math.max(0, untilMs - systemClock.getMonotonicMs())
}
