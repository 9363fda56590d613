import * as z from 'zod'

const MAX_NAME_CHARACTERS = 200
const MAX_KEY_CHARACTERS = 16
const MAX_KEYS = 4096
const MAX_GROUPS = 100

/** Streams by the version at which they began: service, version, keys of the attempts that began them. */
export const begunStreamsSchema = z.array(z.tuple([
  z.string().max(MAX_NAME_CHARACTERS),
  z.string().max(MAX_NAME_CHARACTERS),
  z.array(z.string().max(MAX_KEY_CHARACTERS)).max(MAX_KEYS)
])).max(MAX_GROUPS)

/** Stored streams whose version the version record does not say for certain. */
export const streamOriginsSchema = z.object({ streams: begunStreamsSchema })

export type StreamOriginRecord = z.infer<typeof streamOriginsSchema>
