/** Version that `--version` prints. */
export const VERSION = '0.1.0'
