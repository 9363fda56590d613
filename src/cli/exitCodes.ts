/** Exit codes of the command line; docs/OPERATIONS.md lists them. */
export const EXIT_CODES = { ok: 0, findings: 1, usage: 2, unavailable: 3, conflict: 4 } as const
