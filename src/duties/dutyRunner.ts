import { readClock } from '../base/clockReading'
import { Progress } from '../base/progress'
import { BackgroundTask } from '../store/backgroundTask'
import { USAGE_DUTY_KEY } from './dutyRecord'

import type { Clock } from '../base/clock'
import type { ObjectService } from '../store/objectService'
import type { UsageIntent } from './dutyRecord'
import type { DutyObserver } from './dutyObserver'
import type { DutySituation, DutyStep, SendOutcome, UsageDuty } from './usageDuty'

/** Sends the usage of one window to the platform. */
export interface UsagePlatform {
  sendUsage (report: { holder: string, number: number, intent: UsageIntent }, progress: Progress): Promise<SendOutcome>
  close (): void
}

export interface DutyRunnerOptions {
  clock: Clock
  holder: string
  duty: UsageDuty
  service: ObjectService
  platform: UsagePlatform
  observer: DutyObserver
  getSituation: () => DutySituation
  handleError: (error: unknown) => void
}

const STORE_TIMEOUT_MS = 1000

/** Runs the steps that `UsageDuty` decides on: reads and writes the stored object, and calls the platform. */
export class DutyRunner {
  readonly #options: DutyRunnerOptions
  readonly #task: BackgroundTask
  /** Clock by whose time calls end. Time in which this process did not run counts as well, so that no call begins after its bound. */
  readonly #clock: Clock

  constructor (options: DutyRunnerOptions) {
    this.#options = options
    const { clock } = options
    this.#clock = { getMonotonicMs: () => clock.getMonotonicMs(), getWallMs: () => clock.getWallMs() }
    this.#task = new BackgroundTask({ runStep: async signal => await this.#runStep(signal), onError: options.handleError })
  }

  start (): void {
    this.#task.start()
  }

  async stop (): Promise<void> {
    await this.#task.stop()
    this.#options.platform.close()
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    const step = this.#options.duty.decide(this.#options.getSituation())
    switch (step.kind) {
      case 'wait': return step.ms
      case 'read':
        await this.#read(step, signal)
        return 0
      case 'write':
        await this.#write(step, signal)
        return 0
      case 'send':
        await this.#send(step, signal)
        return 0
    }
  }

  async #read ({ dueWindow }: Extract<DutyStep, { kind: 'read' }>, signal: AbortSignal): Promise<void> {
    const { service, duty, observer } = this.#options
    const found = await service.get(USAGE_DUTY_KEY, this.#createProgress('reading the holder of a duty', STORE_TIMEOUT_MS, signal))
    observer.recordRead(found, dueWindow)
    if (duty.recordRead(found, dueWindow)) observer.recordLost('taken')
  }

  async #write (step: Extract<DutyStep, { kind: 'write' }>, signal: AbortSignal): Promise<void> {
    const { service, duty, observer } = this.#options
    const sentAt = readClock(this.#clock)
    const written = await service.put(USAGE_DUTY_KEY, step.value, step.condition, this.#createProgress('storing a report before it is sent', STORE_TIMEOUT_MS, signal))
    observer.recordWrite(step, written)
    if (duty.recordWrite(step, written, sentAt)) observer.recordLost('conflict')
  }

  async #send (step: Extract<DutyStep, { kind: 'send' }>, signal: AbortSignal): Promise<void> {
    const { holder, platform, duty, observer } = this.#options
    const startedAtMs = this.#clock.getMonotonicMs()
    const outcome = await platform.sendUsage({ holder, number: step.number, intent: step.intent }, this.#createProgress('reporting usage', step.timeoutMs, signal))
    observer.recordSend(step, outcome, this.#clock.getMonotonicMs() - startedAtMs)
    duty.recordSend(step, outcome)
  }

  #createProgress (title: string, timeoutMs: number, signal: AbortSignal): Progress {
    return new Progress({ title, timeoutMs, signal, clock: this.#clock })
  }
}
