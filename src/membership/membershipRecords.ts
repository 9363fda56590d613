import * as z from 'zod'

import { GATEWAYS_PREFIX, SIDECARS_PREFIX } from '../store/keys'

/** Registration that a process writes to the object service when it starts. */
export const registrationSchema = z.object({
  instanceId: z.string().max(200),
  /** Identifies one run of the process. */
  epoch: z.string().max(200),
  /** `host:port` at which the process listens. */
  address: z.string().max(200),
  domain: z.string().max(200),
  /** Endpoint that the sidecar serves; null for a gateway. */
  endpointName: z.string().max(200).nullable(),
  /** Identifies this write, so that the process recognizes it if the answer is lost. */
  writeId: z.string().max(100)
})
export type RegistrationRecord = z.infer<typeof registrationSchema>

/** A sidecar in a gateway's view. */
export interface SidecarRecord {
  sidecarId: string
  epoch: string
  address: string
  domain: string
  endpointName: string
  /** Version of the registration. For one endpoint, a higher version replaces a lower one. */
  registrationVersion: number
  /** Whether the platform lists the instance as leaving. */
  leaving: boolean
}

/** Returns the key of a sidecar's registration. There is one key per endpoint, so its version orders all registrations of the endpoint. */
export function toSidecarKey (endpointName: string): string {
  return `${SIDECARS_PREFIX}${encodeURIComponent(endpointName)}`
}

/** Returns the key of a gateway's registration. */
export function toGatewayKey (gatewayId: string): string {
  return `${GATEWAYS_PREFIX}${encodeURIComponent(gatewayId)}`
}
