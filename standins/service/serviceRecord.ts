/** One execution of a call by a plain service; times are wall-clock milliseconds. */
export interface ServiceExecution {
  endpoint: string
  bootId: string
  method: string
  path: string
  /** Digest from `hashServiceCall`. */
  digest: string
  /** Value of the header `Idempotency-Key`. */
  idempotencyKey: string | null
  /** Value of the header `x-tanagerwick-attempt`. */
  attemptId: string | null
  priority: number
  startedAtMs: number
  endedAtMs: number | null
  state: 'running' | 'answered' | 'answerLost' | 'crashed'
}

/** All records of one plain service since its process started. */
export interface ServiceRecord {
  endpoint: string
  executions: ServiceExecution[]
}
