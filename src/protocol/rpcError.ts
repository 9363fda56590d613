/** Why a call to another process of the fleet gave no result. */
export type RpcError =
  /** The connection could not be made: the peer has not seen the call. */
  | { kind: 'notSent', message: string }
  /** The connection broke, went silent or was aborted: the peer may have seen the call. */
  | { kind: 'lost', message: string }
  /** The peer answered with a JSON-RPC error. */
  | { kind: 'rejected', code: number, message: string }
  /** The peer answered something that is not of this protocol. */
  | { kind: 'malformed', message: string }
