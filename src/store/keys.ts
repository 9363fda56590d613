/** Keys and prefixes of the objects that this project stores at the platform. */

export const MANIFEST_KEY = 'config/manifest'
export const PARTS_PREFIX = 'config/parts/'
export const SIDECARS_PREFIX = 'sidecars/'
export const GATEWAYS_PREFIX = 'gateways/'
export const LEASES_PREFIX = 'leases/'
export const CLAIMS_PREFIX = 'claims/'
export const LEDGER_PREFIX = 'claimLedger/'
export const POISON_PREFIX = 'poison/'
