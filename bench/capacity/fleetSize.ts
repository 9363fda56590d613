/** Target fleet size of the design. */
export const FLEET = {
  gateways: 360,
  sidecars: 600,
  requestsPerSecond: 7_200,
  tokensPerSecond: 2_900_000,
  workspaces: 13_000,
  models: 35,
  tiers: 6,
  domains: 7,
  configChangesPerDay: 2_200,
  restartsPerDay: 60,
  failuresPerDay: 5,
  processes: 960
} as const

/** Bounds of the control path on each node. */
export const CONTROL_BOUNDS = {
  coreShare: 0.02,
  memoryMb: 64,
  bytesPerSecond: 23_000
} as const

/** Calls per second that the platform's object service accepts. */
export const PLATFORM_BOUNDS = {
  writesPerSecond: 400,
  readsPerSecond: 2_000
} as const

export const SECONDS_PER_DAY = 86_400

/** Requests per second of one gateway and of one sidecar at the peak. */
export const GATEWAY_REQUESTS_PER_SECOND = FLEET.requestsPerSecond / FLEET.gateways
export const SIDECAR_REQUESTS_PER_SECOND = FLEET.requestsPerSecond / FLEET.sidecars
