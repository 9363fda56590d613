import { readFileSync } from 'node:fs'

import { Result } from 'true-myth'

import { gatewaySettingsSchema, parseListenAddress, relaySettingsSchema, sidecarSettingsSchema } from './processSettingsSchema'
import { buildSchemaFindings } from './schemaFindings'
import { buildPlainValue, findKeyLocation, findLocation, findNode, parseSource } from './sourceTree'

import type * as z from 'zod'

import type { Finding, SourceLocation } from './finding'
import type { CommonSettings, GatewaySettings, RelaySettings, SidecarSettings } from './processSettings'
import type { ParsedSource, SourceMap } from './sourceTree'

/** Environment variable that contains the fleet's secret. */
export const SECRET_VARIABLE = 'TANAGERWICK_FLEET_SECRET'

/** Settings from command-line flags; without a flag, the value from the file applies. */
export interface SettingFlags {
  /** Path of the YAML file with the same keys. */
  settings?: string
  id?: string
  listen?: string
  domain?: string
  platform?: string
  peers?: string
  logLevel?: string
  endpointName?: string
  endpointAddress?: string
}

type Environment = Record<string, string | undefined>

const MAX_FILE_BYTES = 65_536

/**
 * Loads a gateway's settings from an optional YAML file and from flags, which override the file,
 * and the secret from the environment. Returns all findings in one list.
 *
 * @example
 * const settings = loadGatewaySettings({ settings: 'gateway.yaml', listen: '127.0.0.1:0' }, process.env)
 * if (settings.isErr) process.stderr.write(formatFindings(settings.error))
 */
export function loadGatewaySettings (flags: SettingFlags, environment: Environment): Result<GatewaySettings, Finding[]> {
  return loadSettings(gatewaySettingsSchema, flags, environment).map(input => ({ role: 'gateway', ...buildCommonSettings(input) }))
}

/**
 * Loads a sidecar's settings in the same way as `loadGatewaySettings`.
 *
 * @example
 * const settings = loadSidecarSettings({ settings: 'sidecar.yaml', endpointName: 'engine-1' }, process.env)
 */
export function loadSidecarSettings (flags: SettingFlags, environment: Environment): Result<SidecarSettings, Finding[]> {
  return loadSettings(sidecarSettingsSchema, flags, environment).map(input => ({
    role: 'sidecar',
    ...buildCommonSettings(input),
    endpointName: input.endpointName,
    endpointAddress: input.endpointAddress
  }))
}

/**
 * Loads the settings of a gateway that relays requests directly to endpoints from a YAML file.
 *
 * @example
 * const settings = loadRelaySettings('/etc/tanagerwick/settings.yaml')
 */
export function loadRelaySettings (file: string): Result<RelaySettings, Finding[]> {
  return loadSettings(relaySettingsSchema, { settings: file }, {})
}

function loadSettings<Schema extends z.ZodType> (schema: Schema, flags: SettingFlags, environment: Environment): Result<z.infer<Schema>, Finding[]> {
  const { root, findings } = readSettingsFile(flags.settings)
  const inputs = collectInputs(flags, environment)
  const parsed = schema.safeParse({ ...buildPlainValue(root) as object, ...inputs })
  if (findings.length > 0) return Result.err(findings)
  if (!parsed.success) return Result.err(buildSchemaFindings(schema, parsed.error, (path, isKey) => findInputLocation(root, inputs, path, isKey)))
  return Result.ok(parsed.data)
}

function readSettingsFile (file: string | undefined): ParsedSource {
  if (file === undefined) return { root: createEmptyMap(), findings: [], isComplete: true }
  try {
    const content = readFileSync(file)
    if (content.length <= MAX_FILE_BYTES) return rejectSecretInFile(parseSource(file, content.toString('utf8')))
    return createUnreadableSource(file, `is larger than ${MAX_FILE_BYTES} bytes`)
  } catch (error) {
    return createUnreadableSource(file, `cannot be read: ${(error as Error).message}`)
  }
}

/** Reports a secret in the file as a finding, because copies of the file would leak it. The environment is its only source. */
function rejectSecretInFile (source: ParsedSource): ParsedSource {
  if (findNode(source.root, ['fleetSecret']) === undefined) return source
  const location = findKeyLocation(source.root, ['fleetSecret'])
  const finding = { location, path: 'fleetSecret', message: 'must not be in a file', advice: `Set the environment variable ${SECRET_VARIABLE} instead.` }
  return { ...source, findings: [...source.findings, finding] }
}

function createUnreadableSource (file: string, message: string): ParsedSource {
  const location: SourceLocation = { kind: 'file', file, line: 1, column: 1 }
  return { root: createEmptyMap(), findings: [{ location, path: '', message, advice: 'Name a readable YAML file with --settings, or omit the flag.' }], isComplete: false }
}

function createEmptyMap (): SourceMap {
  return { kind: 'map', location: { kind: 'input', name: 'flags' }, entries: new Map() }
}

function collectInputs (flags: SettingFlags, environment: Environment): Record<string, string> {
  const { id, listen, domain, platform, peers, logLevel, endpointName, endpointAddress } = flags
  const given = { id, listen, domain, platform, peers, logLevel, endpointName, endpointAddress, fleetSecret: environment[SECRET_VARIABLE] }
  return Object.fromEntries(Object.entries(given).filter((entry): entry is [string, string] => entry[1] !== undefined))
}

function findInputLocation (root: SourceMap, inputs: Record<string, string>, path: readonly PropertyKey[], isKey: boolean): SourceLocation {
  const key = String(path[0])
  if (key === 'fleetSecret') return { kind: 'input', name: SECRET_VARIABLE }
  if (key in inputs || !root.entries.has(key)) return { kind: 'input', name: `--${formatFlag(key)}` }
  return isKey ? findKeyLocation(root, path) : findLocation(root, path)
}

function formatFlag (key: string): string {
  return key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

function buildCommonSettings (input: z.infer<typeof gatewaySettingsSchema>): CommonSettings {
  const listen = parseListenAddress(input.listen)
  if (listen === null) throw new Error('a validated listen address failed to parse')
  return {
    id: input.id,
    listen,
    domain: input.domain,
    platformUrl: input.platform.replace(/\/+$/, ''),
    peers: input.peers,
    fleetSecret: input.fleetSecret,
    logLevel: input.logLevel
  }
}
