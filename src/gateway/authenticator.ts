import { createHash } from 'node:crypto'

import { err, ok } from 'true-myth/result'

import type { Result } from 'true-myth'
import type { FleetConfig, Workspace } from '../config/fleetConfig'
import type { Refusal } from '../protocol/errorBody'

const MAX_API_KEY_CHARACTERS = 512
const BEARER_PATTERN = /^Bearer +([\x21-\x7e]+) *$/i

/**
 * Finds the workspace of a bearer key. Stores and compares only digests of keys, so that the time
 * of a lookup reveals nothing about a key.
 */
export class Authenticator {
  readonly #workspaces = new Map<string, Workspace>()

  constructor (config: FleetConfig) {
    for (const workspace of config.workspaces.values()) {
      for (const digest of workspace.keyDigests) this.#workspaces.set(digest.toLowerCase(), workspace)
    }
  }

  /**
   * Finds the workspace of the key in an `Authorization` header.
   *
   * @example
   * authenticator.findWorkspace('Bearer key-of-a-workspace')
   */
  findWorkspace (authorization: string | undefined): Result<Workspace, Refusal> {
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1]
    if (key === undefined) return err(createRefusal("Send the workspace's key as 'Authorization: Bearer KEY'."))
    if (key.length > MAX_API_KEY_CHARACTERS) return err(createRefusal('The key is longer than any key of a workspace.'))
    const workspace = this.#workspaces.get(createHash('sha256').update(key).digest('hex'))
    return workspace === undefined ? err(createRefusal('The key belongs to no workspace.')) : ok(workspace)
  }
}

function createRefusal (message: string): Refusal {
  return { code: 'invalid_api_key', message, execution: 'not_run' }
}
