/** Where a process listens: an IP number and a port. */
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
  /** Base URL of the platform's object service, such as `http://127.0.0.1:7000`. */
  platformUrl: string
  /** `host:port` of processes to ask for the configuration when the platform is out. */
  peers: string[]
  /** Secret that the processes of one fleet show each other. */
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
  /** Name of its endpoint in the configuration. */
  endpointName: string
  /** `host:port` at which the endpoint serves. */
  endpointAddress: string
}

export type ProcessSettings = GatewaySettings | SidecarSettings

/** Settings of a gateway that relays straight to endpoints. */
export interface RelaySettings {
  /** Instance name, unique in the fleet. */
  id: string
  domain: string
  listen: {
    callers: ListenAddress
    /** Where the balancer asks whether the process takes new connections. */
    ready: ListenAddress
    /** Where operators read metrics and the state dump. */
    admin: ListenAddress
    /** Where other gateways ask for this one's view of the store; null when it is not shared. */
    peers: ListenAddress | null
  }
  /** Addresses of some gateways, through which the others are found. */
  peers: string[]
  /** Part of a core that the process may use; the strongest gateway of a domain reads the store for it. */
  processorShare: number
  /** Base URL of the store. */
  storeUrl: string
  /** Milliseconds between the heartbeats by which endpoints keep their entries. */
  heartbeatMs: number
  /** Milliseconds after which a key that was taken away must not be used any more. */
  revocationMs: number
  /** Seconds between the signal to stop and the end of the process. */
  stopSeconds: number
  /** Repeats allowed for each request, over the whole fleet. */
  retryRatio: number
  /** Seconds of the window in which repeats are counted. */
  retryWindowSeconds: number
  maxDescriptors: number
  logBytesPerSecond: number
}
