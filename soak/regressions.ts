/** A run that once found a fault of the product, played again before each landing. */
export interface SoakRegression {
  seed: number
  minutes: number
  /** What was wrong, and the test that holds it without the soak. */
  cause: string
}

export const SOAK_REGRESSIONS: readonly SoakRegression[] = [
  { seed: 2, minutes: 0.3, cause: 'refusals stated their length twice; tests/relay/admission.spec.ts' },
  { seed: 3, minutes: 1.5, cause: 'a request that was still being read was lost at a stop; tests/relay/draining.spec.ts' },
  { seed: 4, minutes: 1.5, cause: 'a signal to reload ended a starting process; tests/platform/earlyReload.spec.ts' }
]
