import * as z from 'zod'

const MAX_PARTS = 4_000
const MAX_DIGEST_CHARS = 100

const digestSchema = z.string().max(MAX_DIGEST_CHARS)

/**
 * The one mutable object of a configuration: its generation and the parts it consists of. It is
 * accepted once its conditional update is confirmed.
 */
export const manifestSchema = z.object({
  /** Grows by one with each accepted update. */
  generation: z.number().int().positive(),
  parts: z.array(z.object({ name: z.string().max(200), digest: digestSchema })).max(MAX_PARTS),
  /** Digests that this update no longer uses; the next update deletes them. */
  dropped: z.array(digestSchema).max(MAX_PARTS),
  /** Texts of small new parts, so that whoever reads the manifest has them at once. */
  inline: z.array(z.object({ digest: digestSchema, text: z.string() })).max(MAX_PARTS),
  /** Identifies the write, to find out whether a write without an answer took effect. */
  writeId: z.string().max(100),
  /** Write identifiers of the generations before this one, latest first. */
  earlierWriteIds: z.array(z.string().max(100)).max(20),
  appliedBy: z.string().max(200),
  /** Milliseconds since the Unix epoch. */
  appliedAtMs: z.number().nonnegative()
})
export type Manifest = z.infer<typeof manifestSchema>

/** Parses a manifest; `null` if the value is none. */
export function parseManifest (value: unknown): Manifest | null {
  const parsed = manifestSchema.safeParse(value)
  return parsed.success ? parsed.data : null
}

/** Lists the digests of `manifest` that `other` lacks, each once. */
export function listNewDigests (manifest: Manifest, other: Manifest | null): string[] {
  const known = new Set(other?.parts.map(part => part.digest))
  return [...new Set(manifest.parts.map(part => part.digest))].filter(digest => !known.has(digest))
}
