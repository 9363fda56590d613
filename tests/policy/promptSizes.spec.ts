import { expect } from 'chai'

import { PromptSizes } from '../../src/policy/promptSizes'

describe('PromptSizes', () => {
  it('should classify prompts relative to the other prompts of the service', () => {
    const sizes = new PromptSizes()
    for (let request = 0; request < 100; request++) sizes.record('engines', request % 2 === 0 ? 17_000 : 7000, 3000)
    expect([sizes.getSize('engines', 1500), sizes.getSize('engines', 7000)]).to.deep.equal(['light', 'heavy'])
  })

  it('should classify every prompt as heavy when all prompts of the service are of similar size', () => {
    const sizes = new PromptSizes()
    for (let request = 0; request < 100; request++) sizes.record('engines', 1000 + request, 500)
    expect(sizes.getSize('engines', 1000)).to.equal('heavy')
  })
})
