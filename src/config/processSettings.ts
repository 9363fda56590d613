/** Address on which a process listens: an IP address and a port. */
export interface ListenAddress {
  host: string
  port: number
}

/** Settings that every process of the system has. */
export interface CommonSettings {
  /** Instance name, unique in the fleet. */
  id: string
  listen: ListenAddress
  /** Failure domain of this instance. */
  domain: string
  /** Base URL of the object service, such as `http://127.0.0.1:7000`. */
  platformUrl: string
  /** `host:port` of processes to ask for the configuration when the object service is unavailable. */
  peers: string[]
  /** Shared secret with which the processes of one fleet authenticate to each other. */
  fleetSecret: string
  logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent'
}

/** Settings of one `tanagerwick gateway` process. */
export interface GatewaySettings extends CommonSettings {
  role: 'gateway'
}

/** Settings of one `tanagerwick sidecar` process. */
export interface SidecarSettings extends CommonSettings {
  role: 'sidecar'
  /** Name of the sidecar's endpoint in the configuration. */
  endpointName: string
  /** `host:port` on which the endpoint listens. */
  endpointAddress: string
}

export type ProcessSettings = GatewaySettings | SidecarSettings

/** Settings of the calls to the platform that one gateway at a time makes for all. */
export interface DutySettings {
  /** Base URL of the platform's interface for them. */
  url: string
  /** Names of the duties, as the platform spells them. */
  names: string[]
  /** Calls per second that the platform takes from all gateways together. */
  callsPerSecond: number
  /** Milliseconds within which a duty must not go to another holder and back. */
  leaseMs: number
  /** Length of the windows whose usage is reported, and the time after its end at which a report is due; null where none is. */
  usageWindowSeconds: number | null
  usageLateSeconds: number | null
}

/** Settings of a gateway that relays requests directly to endpoints. */
export interface RelaySettings {
  /** Instance name, unique in the fleet. */
  id: string
  domain: string
  listen: {
    callers: ListenAddress
    /** Address at which the load balancer checks whether the process accepts new connections. */
    ready: ListenAddress
    /** Address at which operators read metrics and the state dump. */
    admin: ListenAddress
    /** Address at which peer gateways read this one's view of the store; null when it is not shared. */
    peers: ListenAddress | null
  }
  /** Addresses of some gateways, through which the other peers are discovered. */
  peers: string[]
  /** CPU share of the process, in cores. The gateway with the largest share in a failure domain reads the store for the domain. */
  processorShare: number
  /** Base URL of the store. */
  storeUrl: string
  /** Milliseconds between the heartbeats with which endpoints renew their entries. */
  heartbeatMs: number
  /** Milliseconds after the removal of a key within which gateways must stop accepting it. */
  revocationMs: number
  /** Seconds between the stop signal and the end of the process. */
  stopSeconds: number
  /** Retries allowed per request, over the whole fleet. */
  retryRatio: number
  /** Length in seconds of the window in which retries are counted. */
  retryWindowSeconds: number
  maxDescriptors: number
  /** Whether workspaces share the room of a rank by the tokens that they received lately. */
  sharesRoom: boolean
  /** Whether an engine fetches the beginning of a prompt from another one that holds it, where that is sooner than reading it. */
  fetchesPrefixes: boolean
  /** Megabytes of memory that the process may take. */
  memoryMb: number
  logBytesPerSecond: number
  /** Calls to the platform that one gateway makes for all; null when there are none. */
  duties: DutySettings | null
}
