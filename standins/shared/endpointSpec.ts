import * as z from 'zod'

import { startEngine } from '../engine/engineServer'
import { startService } from '../service/serviceServer'

const commonFields = {
  name: z.string(),
  port: z.number().int().default(0),
  slots: z.number().int().positive().default(8),
  restartMs: z.number().nonnegative().default(1500)
}

/** Schema of `standin endpoints --spec`: the endpoint stand-ins that one process hosts. */
export const endpointSpecsSchema = z.array(z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engine'),
    ...commonFields,
    models: z.array(z.string()).default([]),
    checksFencing: z.boolean().default(true),
    speedFactor: z.number().positive().default(1),
    loadLagMs: z.number().nonnegative().default(500),
    stepMs: z.number().positive().default(20),
    stepMsPerRequest: z.number().nonnegative().default(1),
    prefillMsPerToken: z.number().nonnegative().default(0.05)
  }),
  z.strictObject({
    kind: z.literal('service'),
    ...commonFields,
    serviceMs: z.number().positive().default(50)
  })
]))
export type EndpointSpec = z.input<typeof endpointSpecsSchema>[number]
type ParsedEndpointSpec = z.output<typeof endpointSpecsSchema>[number]

/** Starts the stand-in that `spec` describes; returns its `host:port`. */
export async function startEndpoint (spec: ParsedEndpointSpec): Promise<string> {
  switch (spec.kind) {
    case 'engine': return (await startEngine(spec)).host.address
    case 'service': return (await startService(spec)).host.address
  }
}
