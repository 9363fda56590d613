import type { Clock } from '../base/clock'
import type { LabeledHistogram } from '../base/labeledHistogram'
import type { Counter, Metrics } from '../base/metrics'
import type { CallerAnswer, Completion } from './callerAnswer'
import type { CallerRequest } from './callerRequest'
import type { Refusal } from '../protocol/errorBody'

/** Answer metrics of the gateway, by class. */
export class AnswerMetrics {
  readonly firstToken: LabeledHistogram
  readonly betweenTokens: LabeledHistogram
  readonly answerTime: LabeledHistogram
  readonly answers: Counter
  readonly attainment: Counter

  constructor (metrics: Metrics) {
    this.firstToken = metrics.createHistogram('first_token_ms', 'Milliseconds from arrival to the first text sent, by class.')
    this.betweenTokens = metrics.createHistogram('between_tokens_ms', 'Milliseconds between one text and the next, by class.')
    this.answerTime = metrics.createHistogram('answer_ms', 'Milliseconds from arrival to the end of a whole answer, by class.')
    this.answers = metrics.createCounter('answers_total', 'Answers by class and how they ended.')
    this.attainment = metrics.createCounter('first_tokens_total', "First tokens by class, and whether within the class's target.")
  }
}

/** Measures one answer while forwarding it to the caller. */
export class AnswerMeter implements CallerAnswer {
  readonly #answer: CallerAnswer
  readonly #request: CallerRequest
  readonly #metrics: AnswerMetrics
  readonly #clock: Clock
  readonly #labels: { class: string }
  #lastTextAtMs: number | null = null

  constructor (request: CallerRequest, answer: CallerAnswer, metrics: AnswerMetrics, clock: Clock) {
    this.#request = request
    this.#answer = answer
    this.#metrics = metrics
    this.#clock = clock
    this.#labels = { class: request.serviceClass.name }
    answer.signal.addEventListener('abort', () => this.#recordEnd('hung_up'), { once: true })
  }

  get signal (): AbortSignal {
    return this.#answer.signal
  }

  get hasBegun (): boolean {
    return this.#answer.hasBegun
  }

  get hasEnded (): boolean {
    return this.#answer.hasEnded
  }

  begin (): void {
    this.#answer.begin()
  }

  writeText (text: string): Promise<void> | undefined {
    if (!this.hasEnded) this.#recordText()
    return this.#answer.writeText(text)
  }

  complete (completion: Completion): void {
    if (this.hasEnded) return
    this.#metrics.answerTime.record(this.#clock.getMonotonicMs() - this.#request.arrivedAtMs, this.#labels)
    this.#recordEnd('completed')
    this.#answer.complete(completion)
  }

  refuse (refusal: Refusal): void {
    if (this.hasEnded) return
    this.#recordEnd(refusal.code)
    this.#answer.refuse(refusal)
  }

  fail (refusal: Refusal): void {
    if (this.hasEnded) return
    this.#recordEnd(refusal.code)
    this.#answer.fail(refusal)
  }

  #recordText (): void {
    const nowMs = this.#clock.getMonotonicMs()
    if (this.#lastTextAtMs === null) this.#recordFirstToken(nowMs - this.#request.arrivedAtMs)
    else this.#metrics.betweenTokens.record(nowMs - this.#lastTextAtMs, this.#labels)
    this.#lastTextAtMs = nowMs
  }

  #recordFirstToken (elapsedMs: number): void {
    const isInTime = elapsedMs <= this.#request.serviceClass.firstTokenTargetMs
    this.#metrics.firstToken.record(elapsedMs, this.#labels)
    this.#metrics.attainment.add({ ...this.#labels, in_time: String(isInTime) })
  }

  #recordEnd (end: string): void {
    this.#metrics.answers.add({ ...this.#labels, end })
  }
}
