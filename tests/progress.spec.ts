import { expect } from 'chai'

import { Progress } from '../src/base/progress'

describe('Progress', () => {
  it('should name what was awaited when the deadline passes', async () => {
    const progress = new Progress({ title: 'reading a value', timeoutMs: 5 })
    progress.log('asked the platform')
    const error = await progress.wait('the answer', new Promise(() => {})).catch((reason: Error) => reason)
    expect(String(error)).to.match(/reading a value: timed out waiting for the answer\n {2}- asked the platform/)
  })

  it('should abort a wait when its parent is aborted', async () => {
    const parent = new AbortController()
    const progress = new Progress({ title: 'waiting', timeoutMs: 60_000, signal: parent.signal })
    const wait = progress.wait('a value that never comes', new Promise(() => {})).catch((reason: Error) => reason.name)
    parent.abort()
    expect(await wait).to.equal('AbortedError')
  })
})
