import type { EngineSpeed } from './engineModel'
import type { OverloadScenario } from './overloadReplay'

const SPEED: EngineSpeed = { slots: 24, stepMs: 3.55, stepMsPerSlot: 0.0462, prefillTokensPerMs: 147, chunkTokens: 1024, firstMs: 26, eventTokens: 8 }

/**
 * Builds a burst of long prompts together with shorter, more urgent ones. At load 1 the unique tokens
 * alone use up the engines' prefill throughput. The shared parts are not cached at the start.
 */
export function buildManyGatewayScenario ({ load, seed, gateways = 30, engines = 8 }: { load: number, seed: number, gateways?: number, engines?: number }): OverloadScenario {
  const perEngine = load * engines
  return {
    gateways,
    engines,
    speed: SPEED,
    durationMs: 6000,
    seed,
    kinds: [
      { name: 'bulk', rank: 2, perSecond: 30 * perEngine, targetMs: 815, maxPauseMs: 500, callerTimeoutMs: 4000, sharedParts: [{ tokens: 2520, count: 4 }, { tokens: 3780, count: 42 * engines }], uniqueTokens: { mean: 2890, sigma: 1, max: 39_600 }, outputTokens: 56, lateValueShare: 0.3 },
      { name: 'look-up', rank: 1, perSecond: 6 * perEngine, targetMs: 250, maxPauseMs: 200, callerTimeoutMs: 2500, sharedParts: [{ tokens: 341, count: 40 }, { tokens: 227, count: 40 * engines }], uniqueTokens: { mean: 1800, sigma: 1.3, max: 6870 }, outputTokens: 24, lateValueShare: 0.3 },
      { name: 'urgent', rank: 0, perSecond: 1.8 * perEngine, targetMs: 150, maxPauseMs: 120, callerTimeoutMs: 12_000, sharedParts: [{ tokens: 103, count: 16 }, { tokens: 69, count: 308 }], uniqueTokens: { mean: 543, sigma: 0.9, max: 2310 }, outputTokens: 280, lateValueShare: 0.1 }
    ]
  }
}

/** Builds the same burst with few gateways and as many slots as the engines need. */
export function buildFewGatewayScenario ({ load, seed }: { load: number, seed: number }): OverloadScenario {
  const scenario = buildManyGatewayScenario({ load, seed, gateways: 4, engines: 6 })
  return { ...scenario, speed: { ...SPEED, slots: 128, eventTokens: 5 } }
}

const BUSY_ENGINE_SPEED: EngineSpeed = { slots: 64, stepMs: 4.55, stepMsPerSlot: 0.0462, prefillTokensPerMs: 61.4, chunkTokens: 1024, firstMs: 26, eventTokens: 4 }

/**
 * Builds a burst of long prompts with large shared parts at slow engines. 24 workspaces compete, of which the first sends
 * `firstFactor` times as much as each other one. At load 1 the rates are those of the heaviest planned burst without it.
 */
export function buildWorkspaceScenario ({ load, seed, firstFactor }: { load: number, seed: number, firstFactor: number }): OverloadScenario {
  const engines = 8
  const perEngine = load * engines
  return {
    gateways: 12,
    engines,
    speed: BUSY_ENGINE_SPEED,
    durationMs: 8000,
    seed,
    workspaces: { count: 24, firstFactor },
    kinds: [
      { name: 'review', rank: 2, perSecond: 4.8 * perEngine, targetMs: 2527, maxPauseMs: 800, callerTimeoutMs: 12_130, sharedParts: [{ tokens: 13_300, count: 50 }], uniqueTokens: { mean: 3720, sigma: 0.7, max: 11_160 }, outputTokens: 120, lateValueShare: 0.34 },
      { name: 'check', rank: 1, perSecond: 1.1 * perEngine, targetMs: 1519, maxPauseMs: 300, callerTimeoutMs: 6077, sharedParts: [{ tokens: 2520, count: 4 }, { tokens: 3780, count: 40 }], uniqueTokens: { mean: 2890, sigma: 0.7, max: 8670 }, outputTokens: 52, lateValueShare: 0.56 },
      { name: 'draft', rank: 0, perSecond: 1.6 * perEngine, targetMs: 1211, maxPauseMs: 200, callerTimeoutMs: 12_112, sharedParts: [{ tokens: 210, count: 9 }, { tokens: 140, count: 55 }], uniqueTokens: { mean: 1110, sigma: 0.7, max: 3330 }, outputTokens: 172, lateValueShare: 0.24 }
    ]
  }
}

/** Builds the same kinds of requests before engines with another prefill rate; at load 1 the unique tokens alone use it up. */
export function buildRateScenario ({ load, tokensPerMs, seed, calmMs = 0, durationMs = 30_000 }: { load: number, tokensPerMs: number, seed: number, calmMs?: number, durationMs?: number }): OverloadScenario {
  const scenario = buildManyGatewayScenario({ load: load * tokensPerMs / SPEED.prefillTokensPerMs, seed, gateways: 4, engines: 4 })
  return { ...scenario, calmMs, durationMs, speed: { ...SPEED, slots: 64, stepMs: 4.55, prefillTokensPerMs: tokensPerMs, eventTokens: 4 } }
}
