// The machine of the duty's holder is cut off from the platform while a call of the duty is on its way.
import { fileURLToPath } from 'node:url'

import { buildConfig, isTroubled, runCase, sleep, waitUntil } from '../lib-2/fleet.mjs'
import { Link } from '../lib-2/link.mjs'
import { Platform } from '../lib-2/store.mjs'

const GATEWAYS = 3
const CUT_MS = 8000
const THAW_SLACK_MS = 300

await runCase(fileURLToPath(new URL('./record.txt', import.meta.url)), async fleet => {
  const platform = new Platform()
  await platform.open()
  platform.put('config/main', buildConfig())
  platform.handleUsage = ({ holder, number, window, counts }) => fleet.log(`the platform gets the usage of window ${window} from ${holder} with number ${number}: ${JSON.stringify(counts)}`)
  platform.handleWrite = (key, { spec }) => { if (key.startsWith('duties/')) fleet.log(`the store has ${key}: holder ${spec.holder}, number ${spec.number}, window ${spec.window}`) }
  const links = []
  for (let index = 0; index < GATEWAYS; index++) {
    const link = new Link(platform.address)
    await link.open()
    links.push(link)
  }
  const gateways = await fleet.startGateways(GATEWAYS, { storeAddress: platform.address, cloudAddress: platform.address, links: links.map(({ address }) => ({ storeAddress: address, cloudAddress: address })) })
  // two reports in calm show who holds the duty
  await waitUntil(() => platform.usageCalls.length >= 2, 20_000, 'the first reports')
  const { holder } = platform.usageCalls.at(-1)
  const link = links[gateways.findIndex(({ name }) => name === holder)]
  let cutAtMs = null
  if (isTroubled) {
    link.handleFirstBytes = bytes => {
      if (cutAtMs !== null || !bytes.toString('latin1').startsWith('POST /usage')) return
      cutAtMs = performance.now()
      link.cut()
      fleet.log(`${holder} has sent a call of the duty, and its machine is cut off from the platform`)
      setTimeout(() => {
        link.heal()
        fleet.log(`the link of ${holder} has healed`)
      }, CUT_MS)
    }
  }
  await sleep(26_000)
  if (isTroubled && cutAtMs === null) throw new Error('the holder sent no call')
  return findProblem(platform.usageCalls, holder, cutAtMs === null ? -Infinity : cutAtMs + CUT_MS)
})

/** ONE: the platform gets a call with a lower number than it has seen; not within `thawSlackMs` after the sender's link has healed. */
function findProblem (calls, cutHolder, healedAtMs) {
  let highest = 0
  for (const { atMs, holder, number, window } of calls) {
    const isExcused = holder === cutHolder && atMs <= healedAtMs + THAW_SLACK_MS
    if (number < highest && !isExcused) return `${holder} acts on window ${window} with number ${number} after number ${highest} was seen, ${Math.round(atMs - healedAtMs)} ms after its link healed`
    highest = Math.max(highest, number)
  }
  return null
}
