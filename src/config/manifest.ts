import * as z from 'zod'

const MAX_PARTS = 4_000
const MAX_DIGEST_CHARS = 100

const digestSchema = z.string().max(MAX_DIGEST_CHARS)

/**
 * Schema of the only mutable object of a configuration: its generation and the list of its parts.
 * A configuration is accepted once the conditional update of its manifest is confirmed.
 */
export const manifestSchema = z.object({
  /** Increases by one with each accepted update. */
  generation: z.number().int().positive(),
  parts: z.array(z.object({ name: z.string().max(200), digest: digestSchema })).max(MAX_PARTS),
  /** Digests of parts that this update no longer uses; the next update deletes them. */
  dropped: z.array(digestSchema).max(MAX_PARTS),
  /** Texts of small new parts, so that a reader of the manifest need not fetch them. */
  inline: z.array(z.object({ digest: digestSchema, text: z.string() })).max(MAX_PARTS),
  /** Identifies the write, to find out whether a write without a response took effect. */
  writeId: z.string().max(100),
  /** Write identifiers of the generations before this one, latest first. */
  earlierWriteIds: z.array(z.string().max(100)).max(20),
  appliedBy: z.string().max(200),
  /** Milliseconds since the Unix epoch. */
  appliedAtMs: z.number().nonnegative()
})
export type Manifest = z.infer<typeof manifestSchema>

/** Parses a manifest; returns `null` if the value is not a valid one. */
export function parseManifest (value: unknown): Manifest | null {
  const parsed = manifestSchema.safeParse(value)
  return parsed.success ? parsed.data : null
}

/** Lists the part digests of `manifest` that `other` lacks, without duplicates. */
export function listNewDigests (manifest: Manifest, other: Manifest | null): string[] {
  const known = new Set(other?.parts.map(part => part.digest))
  return [...new Set(manifest.parts.map(part => part.digest))].filter(digest => !known.has(digest))
}
