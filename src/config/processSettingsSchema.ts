import { isIP } from 'node:net'

import * as z from 'zod'

import type { ListenAddress } from './processSettings'

const MAX_PORT = 65_535
const MIN_SECRET_CHARS = 8
const MAX_NAME_CHARS = 100
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'is not a usable name').max(MAX_NAME_CHARS)
const addressSchema = z.string().refine(text => parseListenAddress(text) !== null, 'is not an IP address and a port')
const peerListSchema = z.preprocess(parseCommaSeparated, z.array(addressSchema))

const commonShape = {
  id: nameSchema.describe('a name of letters, digits, dots and dashes that no other instance has'),
  listen: addressSchema.describe('the IP address and port to listen on, such as 127.0.0.1:7100; port 0 lets the system choose'),
  domain: nameSchema.describe('the failure domain of this instance, such as pl-central-a'),
  platform: z.url({ protocol: /^https?$/, error: 'is not an http URL' }).describe('the base URL of the object service, such as http://127.0.0.1:7000'),
  peers: peerListSchema.default([]).describe('addresses such as 127.0.0.1:7100, as a list or separated by commas'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info').describe('debug, info, warn, error or silent'),
  fleetSecret: z.string().min(MIN_SECRET_CHARS, `is shorter than ${MIN_SECRET_CHARS} characters`)
    .describe('the fleet\'s secret in the environment variable TANAGERWICK_FLEET_SECRET; it cannot be set in a file or by a flag')
}

/** Schema of a gateway's settings from file, flags and environment. */
export const gatewaySettingsSchema = z.strictObject(commonShape)

/** Schema of a sidecar's settings from file, flags and environment. */
export const sidecarSettingsSchema = z.strictObject({
  ...commonShape,
  endpointName: nameSchema.describe('the name of the endpoint in the configuration'),
  endpointAddress: addressSchema.describe('the IP address and port on which the endpoint listens, such as 127.0.0.1:8000')
})

const listenSchema = addressSchema.transform(text => parseListenAddress(text) as ListenAddress)
const durationSchema = z.number().int().positive()
const secondsSchema = z.number().positive()

/** Schema of the settings file of a gateway that relays requests directly to endpoints. */
export const relaySettingsSchema = z.strictObject({
  id: commonShape.id,
  domain: commonShape.domain,
  listen: z.strictObject({
    callers: listenSchema.describe('the IP address and port for callers, such as 127.0.0.1:7100'),
    ready: listenSchema.describe('the IP address and port for readiness checks'),
    admin: listenSchema.describe('the IP address and port for metrics and the state dump'),
    peers: listenSchema.nullable().default(null).describe('the IP address and port for peer gateways, such as 127.0.0.1:7103')
  }),
  peers: commonShape.peers,
  processorShare: z.number().positive().default(1).describe('the CPU share of the process, in cores'),
  storeUrl: commonShape.platform,
  heartbeatMs: durationSchema.describe('the milliseconds between heartbeats of endpoints'),
  revocationMs: durationSchema.describe('the milliseconds after which a removed key must not be accepted'),
  stopSeconds: secondsSchema.describe('the seconds within which the process must stop'),
  retryRatio: z.number().min(0).max(1).describe('the retries allowed per request, from 0 to 1'),
  retryWindowSeconds: secondsSchema.describe('the seconds of the window in which retries are counted'),
  maxDescriptors: durationSchema.describe('the number of file descriptors that the process may open'),
  sharesRoom: z.boolean().default(false).describe('true to share the room of a rank between workspaces by the tokens that they received'),
  fetchesPrefixes: z.boolean().default(false).describe('true to let an engine fetch the beginning of a prompt from another one that holds it'),
  memoryMb: durationSchema.default(200).describe('the megabytes of memory that the process may take'),
  logBytesPerSecond: durationSchema.default(65_536).describe('the bytes per second that the log may write'),
  duties: z.strictObject({
    url: commonShape.platform,
    names: z.array(z.string()).describe('the names of the duties, such as usage_report'),
    callsPerSecond: z.number().positive().describe('the calls per second that the platform accepts from all gateways together'),
    leaseMs: durationSchema.describe('the milliseconds within which a duty must not go to another holder and back'),
    usageWindowSeconds: secondsSchema.nullable().default(null).describe('the seconds of the windows whose usage is reported'),
    usageLateSeconds: secondsSchema.nullable().default(null).describe('the seconds after the end of a window at which its report is due')
  }).nullable().default(null).describe('the calls to the platform that one gateway at a time makes for all')
})

/**
 * Parses `IP:PORT`, with an IPv6 address in square brackets; returns `null` for any other form.
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
