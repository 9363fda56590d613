import { expect } from 'chai'

import { chooseDirectEndpoint } from '../../src/policy/directChooser'
import { recordSend } from '../../src/policy/directEndpoint'
import { buildChooserOptions, buildEndpoint } from './directFixtures'

import type { PromptPart } from '../../src/policy/prefixMemory'

const PROMPT: PromptPart[] = [{ id: 'history', tokens: 13_000 }, { id: 'question', tokens: 1000 }]
const PROMPT_REQUEST = { service: 'engines', promptParts: PROMPT }
const PLAIN_REQUEST = { service: 'archive', promptParts: [] }

describe('the choice among endpoints reached directly', () => {
  it('should meet at the home of the shared part', () => {
    const endpoints = [buildEndpoint('e-1'), buildEndpoint('e-2')]
    const choice = chooseDirectEndpoint(PROMPT_REQUEST, endpoints, buildChooserOptions({ home: endpoints[1]! }))
    expect(choice).to.include({ endpoint: endpoints[1], reason: 'prefixHome', unreadTokens: 1000, hasRoom: true })
  })

  it('should wait for the home while its prompts are read rather than have the prompt read again elsewhere', () => {
    const home = buildEndpoint('home', { pendingTokens: 12_000, inFlight: 2 })
    const choice = chooseDirectEndpoint(PROMPT_REQUEST, [home, buildEndpoint('idle')], buildChooserOptions({ home }))
    expect(choice).to.include({ endpoint: home, hasRoom: false })
  })

  it('should not let a short prompt take the room for which a long one waits', () => {
    const home = buildEndpoint('home', { pendingTokens: 4000 })
    const short = { service: 'engines', promptParts: [{ id: 'note', tokens: 500 }] }
    expect(chooseDirectEndpoint(short, [home], buildChooserOptions())).to.include({ hasRoom: true })
    expect(chooseDirectEndpoint(short, [home], buildChooserOptions({ planned: new Map([['home', 8000]]) }))).to.include({ hasRoom: false })
    expect(chooseDirectEndpoint(short, [buildEndpoint('home')], buildChooserOptions({ planned: new Map([['home', 8000]]) }))).to.include({ hasRoom: false })
  })

  it('should go elsewhere when more waits for the home than reading the prompt again costs', () => {
    const home = buildEndpoint('home', { pendingTokens: 4000 })
    const idle = buildEndpoint('idle')
    const planned = new Map([['home', 1_000_000]])
    expect(chooseDirectEndpoint(PROMPT_REQUEST, [home, idle], buildChooserOptions({ home, planned }))).to.include({ endpoint: idle, hasRoom: true })
  })

  it('should go where the fewest requests are in flight when nothing is shared', () => {
    const endpoints = [buildEndpoint('e-1', { inFlight: 3 }), buildEndpoint('e-2', { inFlight: 1 })]
    expect(chooseDirectEndpoint(PLAIN_REQUEST, endpoints, buildChooserOptions())?.endpoint).to.equal(endpoints[1])
  })

  it('should put an endpoint back that fails, and last one that was ejected', () => {
    const failing = buildEndpoint('failing')
    const ejected = buildEndpoint('ejected')
    for (let count = 0; count < 10; count++) recordSend(failing, { kind: 'failed' }, 0)
    recordSend(ejected, { kind: 'broken' }, 0)
    const busy = buildEndpoint('busy', { inFlight: 6 })
    expect(chooseDirectEndpoint(PLAIN_REQUEST, [failing, ejected, busy], buildChooserOptions())?.endpoint).to.equal(busy)
    expect(chooseDirectEndpoint(PLAIN_REQUEST, [failing, ejected], buildChooserOptions())?.endpoint).to.equal(failing)
    expect(chooseDirectEndpoint(PLAIN_REQUEST, [ejected], buildChooserOptions())?.endpoint).to.equal(ejected)
  })

  it('should not choose one that the request has been to', () => {
    const endpoints = [buildEndpoint('e-1')]
    expect(chooseDirectEndpoint(PLAIN_REQUEST, endpoints, buildChooserOptions({ excluded: new Set(['e-1']) }))).to.equal(null)
  })
})
