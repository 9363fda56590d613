import type { FleetConfig } from './fleetConfig'

/** The configuration in force at this process, and word of newer ones. */
export interface ConfigSource {
  /** The whole configuration in force, or null before the first. */
  getCurrent (): FleetConfig | null
  /** Calls `listener` with each configuration that comes into force; returns a function that stops this. */
  watchConfig (listener: (config: FleetConfig) => void): () => void
  /** Where the configuration came from and what hinders the next, for the state dump. */
  getState (): object
  /** Says that the process at `address` has `generation` in force. */
  notifyGeneration (generation: number, address: string): void
}
