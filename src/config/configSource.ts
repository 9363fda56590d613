import type { FleetConfig } from './fleetConfig'

/** Provides the configuration in force at this process and notifies of newer ones. */
export interface ConfigSource {
  /** Returns the whole configuration in force, or null before the first. */
  getCurrent (): FleetConfig | null
  /** Calls `listener` with each configuration that comes into force; returns a function that unsubscribes it. */
  watchConfig (listener: (config: FleetConfig) => void): () => void
  /** Returns the source of the configuration and what prevents the next one, for the state dump. */
  getState (): object
  /** Reports that the process at `address` has `generation` in force. */
  notifyGeneration (generation: number, address: string): void
}
