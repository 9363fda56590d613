import { isIP } from 'node:net'

import * as z from 'zod'

import type { ListenAddress } from './processSettings'

const MAX_PORT = 65_535
const MIN_SECRET_CHARS = 8
const MAX_NAME_CHARS = 100
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'is not a usable name').max(MAX_NAME_CHARS)
const addressSchema = z.string().refine(text => parseListenAddress(text) !== null, 'is not an IP number and a port')
const peerListSchema = z.preprocess(parseCommaSeparated, z.array(addressSchema))

const commonShape = {
  id: nameSchema.describe('a name of letters, digits, dots and dashes that no other instance has'),
  listen: addressSchema.describe('the IP number and port to listen at, such as 127.0.0.1:7100; port 0 lets the system choose'),
  domain: nameSchema.describe('the failure domain of this instance, such as pl-central-a'),
  platform: z.url({ protocol: /^https?$/, error: 'is not an http URL' }).describe('the base URL of the object service, such as http://127.0.0.1:7000'),
  peers: peerListSchema.default([]).describe('addresses such as 127.0.0.1:7100, as a list or separated by commas'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info').describe('debug, info, warn, error or silent'),
  fleetSecret: z.string().min(MIN_SECRET_CHARS, `is shorter than ${MIN_SECRET_CHARS} characters`)
    .describe('the fleet\'s secret in the environment variable TANAGERWICK_FLEET_SECRET; no file or flag carries it')
}

/** What a gateway's settings file and flags must give. */
export const gatewaySettingsSchema = z.strictObject(commonShape)

/** What a sidecar's settings file and flags must give. */
export const sidecarSettingsSchema = z.strictObject({
  ...commonShape,
  endpointName: nameSchema.describe('the name of the endpoint in the configuration'),
  endpointAddress: addressSchema.describe('the IP number and port at which the endpoint serves, such as 127.0.0.1:8000')
})

const listenSchema = addressSchema.transform(text => parseListenAddress(text) as ListenAddress)
const durationSchema = z.number().int().positive()
const secondsSchema = z.number().positive()

/** What the settings file of a gateway that relays straight to endpoints must give. */
export const relaySettingsSchema = z.strictObject({
  id: commonShape.id,
  domain: commonShape.domain,
  listen: z.strictObject({
    callers: listenSchema.describe('the IP number and port for callers, such as 127.0.0.1:7100'),
    ready: listenSchema.describe('the IP number and port at which readiness is asked'),
    admin: listenSchema.describe('the IP number and port for metrics and the state dump'),
    peers: listenSchema.nullable().default(null).describe('the IP number and port for other gateways, such as 127.0.0.1:7103')
  }),
  peers: commonShape.peers,
  processorShare: z.number().positive().default(1).describe('the part of a core that the process may use'),
  storeUrl: commonShape.platform,
  heartbeatMs: durationSchema.describe('the milliseconds between heartbeats of endpoints'),
  revocationMs: durationSchema.describe('the milliseconds after which a removed key must not be used'),
  stopSeconds: secondsSchema.describe('the seconds that the process has to stop in'),
  retryRatio: z.number().min(0).max(1).describe('the repeats allowed for each request, from 0 to 1'),
  retryWindowSeconds: secondsSchema.describe('the seconds of the window for repeats'),
  maxDescriptors: durationSchema.describe('the descriptors that the process may open'),
  logBytesPerSecond: durationSchema.default(65_536).describe('the bytes a second that the log may write')
})

/**
 * Parses `IP:PORT`, with an IPv6 number in square brackets; `null` if it has another form.
 *
 * @example
 * parseListenAddress('127.0.0.1:7100') // { host: '127.0.0.1', port: 7100 }
 */
export function parseListenAddress (text: string): ListenAddress | null {
  const match = ADDRESS_PATTERN.exec(text)
  const host = match?.[1] ?? match?.[2] ?? ''
  const port = Number(match?.[3])
  if (isIP(host) === 0 || port > MAX_PORT) return null
  return { host, port }
}

function parseCommaSeparated (value: unknown): unknown {
  if (typeof value !== 'string') return value
  return value.split(',').map(word => word.trim()).filter(word => word !== '')
}
