/** A run that found a fault of the product, repeated before each merge. */
export interface SoakRegression {
  seed: number
  minutes: number
  /** The fault, and the test that reproduces it without the soak. */
  cause: string
}

export const SOAK_REGRESSIONS: readonly SoakRegression[] = [
  { seed: 2, minutes: 0.3, cause: 'rejections carried two Content-Length headers; tests/relay/admission.spec.ts' },
  { seed: 3, minutes: 1.5, cause: 'a request whose body was still being received was lost on shutdown; tests/relay/draining.spec.ts' },
  { seed: 4, minutes: 1.5, cause: 'SIGHUP terminated a process that was still starting; tests/platform/earlyReload.spec.ts' }
]
