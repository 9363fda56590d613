/** Software version of the endpoints to which a request may be sent. */
export type VersionChoice =
  | { kind: 'any' }
  | { kind: 'version', version: string }
  /** It is not known now, and the request must not be sent. */
  | { kind: 'unknown', reason: 'noAssignment' | 'assignmentStale' | 'limitNotCovered' }
