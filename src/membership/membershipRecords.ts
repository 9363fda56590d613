import * as z from 'zod'

import { GATEWAYS_PREFIX, SIDECARS_PREFIX } from '../store/keys'

/** What a process writes of itself at the platform when it starts. */
export const registrationSchema = z.object({
  instanceId: z.string().max(200),
  /** Identifies one life of the process. */
  epoch: z.string().max(200),
  /** `host:port` at which the process serves. */
  address: z.string().max(200),
  domain: z.string().max(200),
  /** Endpoint beside a sidecar; null for a gateway. */
  endpointName: z.string().max(200).nullable(),
  /** Identifies this write when its answer is lost. */
  writeId: z.string().max(100)
})
export type RegistrationRecord = z.infer<typeof registrationSchema>

/** A sidecar as a gateway knows it. */
export interface SidecarRecord {
  sidecarId: string
  epoch: string
  address: string
  domain: string
  endpointName: string
  /** Version of the registration; a higher one of the same endpoint replaces a lower one. */
  registrationVersion: number
  /** Whether the platform lists the instance as leaving. */
  leaving: boolean
}

/** Key of a sidecar's registration: one per endpoint, so that its version orders all registrations for it. */
export function toSidecarKey (endpointName: string): string {
  return `${SIDECARS_PREFIX}${encodeURIComponent(endpointName)}`
}

/** Key of a gateway's registration. */
export function toGatewayKey (gatewayId: string): string {
  return `${GATEWAYS_PREFIX}${encodeURIComponent(gatewayId)}`
}
