import type { EngineSpeed } from './engineModel'
import type { Replay } from './overloadReplay'

const SPEED: EngineSpeed = { slots: 24, stepMs: 3.55, stepMsPerSlot: 0.0462, prefillTokensPerMs: 147, chunkTokens: 1024, firstMs: 26, eventTokens: 8 }

/**
 * Builds a burst of long prompts beside shorter, more urgent ones. At load 1 the own tokens alone are as
 * much as the engines read; the shared parts are cold at the start.
 */
export function buildManyGateways ({ load, seed, gateways = 30, engines = 8 }: { load: number, seed: number, gateways?: number, engines?: number }): Replay {
  const perEngine = load * engines
  return {
    gateways,
    engines,
    speed: SPEED,
    lengthMs: 6000,
    seed,
    kinds: [
      { name: 'bulk', rank: 2, perSecond: 30 * perEngine, targetMs: 815, pauseMs: 500, patienceMs: 4000, sharedParts: [{ tokens: 2520, count: 4 }, { tokens: 3780, count: 42 * engines }], ownTokens: { mean: 2890, sigma: 1, max: 39_600 }, outputTokens: 56, lateShare: 0.3 },
      { name: 'look-up', rank: 1, perSecond: 6 * perEngine, targetMs: 250, pauseMs: 200, patienceMs: 2500, sharedParts: [{ tokens: 341, count: 40 }, { tokens: 227, count: 40 * engines }], ownTokens: { mean: 1800, sigma: 1.3, max: 6870 }, outputTokens: 24, lateShare: 0.3 },
      { name: 'urgent', rank: 0, perSecond: 1.8 * perEngine, targetMs: 150, pauseMs: 120, patienceMs: 12_000, sharedParts: [{ tokens: 103, count: 16 }, { tokens: 69, count: 308 }], ownTokens: { mean: 543, sigma: 0.9, max: 2310 }, outputTokens: 280, lateShare: 0.1 }
    ]
  }
}

/** Builds the same before few gateways, with as many slots as the engines need. */
export function buildFewGateways ({ load, seed }: { load: number, seed: number }): Replay {
  const replay = buildManyGateways({ load, seed, gateways: 4, engines: 6 })
  return { ...replay, speed: { ...SPEED, slots: 128, eventTokens: 5 } }
}
