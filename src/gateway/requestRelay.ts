import type { Progress } from '../base/progress'
import type { Workspace } from '../config/fleetConfig'
import type { CallerAnswer } from './callerAnswer'
import type { CallerRequest } from './callerRequest'
import type { Refusal } from '../protocol/errorBody'

/** Runs a caller's request in the fleet and ends its answer. */
export interface RequestRelay {
  /**
   * Relays `request`; settles once `answer` has ended.
   *
   * @param progress times out at the class's deadline and is aborted when the caller disconnects
   */
  relay (request: CallerRequest, answer: CallerAnswer, progress: Progress): Promise<void>
}

/** Decision of a workspace's limits on one request. */
export type Admission =
  /** `release` is called once, when the request's answer has ended. */
  | { kind: 'admitted', release: () => void }
  | { kind: 'refused', refusal: Refusal }

/** Checks one more request against the limits of its workspace. */
export type AdmitRequest = (workspace: Workspace) => Admission
