/** Reason why a call to another process of the fleet has no result. */
export type RpcError =
  /** The connection could not be opened. The peer has not received the call. */
  | { kind: 'notSent', message: string }
  /** The connection broke, timed out or was aborted. The peer may have received the call. */
  | { kind: 'lost', message: string }
  /** The peer answered with a JSON-RPC error or an HTTP status other than 200. */
  | { kind: 'rejected', code: number, message: string }
  /** The peer's answer does not follow the protocol. */
  | { kind: 'malformed', message: string }
