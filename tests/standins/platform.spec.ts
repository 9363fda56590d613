import { expect } from 'chai'

import { startPlatform } from '../../standins/platform/platformServer'

import type { PlatformOptions, PlatformServer } from '../../standins/platform/platformServer'

describe('platform stand-in', () => {
  it('should refuse to create an existing key and to update an outdated version', async () => {
    await withPlatform({}, async platform => {
      expect((await put(platform, 'a/b', 1, { 'if-none-match': '*' })).status).to.equal(200)
      const again = await put(platform, 'a/b', 2, { 'if-none-match': '*' })
      expect(again.status).to.equal(412)
      expect(await again.json()).to.deep.equal({ current: { key: 'a/b', version: 1, value: 1 } })
      expect((await put(platform, 'a/b', 2, { 'if-match': '1' })).status).to.equal(200)
      expect((await put(platform, 'a/b', 3, { 'if-match': '1' })).status).to.equal(412)
      const list = await getJson(platform, '/objects?prefix=a/')
      expect(list).to.deep.equal({ objects: [{ key: 'a/b', version: 2, value: 2 }], revision: 2 })
    })
  })

  it('should answer a pending watch with the change and answer 410 once its revision is too old', async () => {
    await withPlatform({ historyLength: 2 }, async platform => {
      const watch = getJson(platform, '/watch?prefix=a/&after=0&timeoutMs=10000')
      await put(platform, 'a/1', 'x', { 'if-none-match': '*' })
      expect(await watch).to.deep.equal({ events: [{ kind: 'put', object: { key: 'a/1', version: 1, value: 'x' } }], revision: 1 })
      for (let version = 1; version < 6; version++) await put(platform, 'a/1', 'y', { 'if-match': String(version) })
      expect((await fetch(`${platform.url}/watch?prefix=a/&after=1&timeoutMs=0`)).status).to.equal(410)
    })
  })

  it('should apply a write whose answer it loses', async () => {
    await withPlatform({}, async platform => {
      await platform.setFaults({ applyThenLoseAnswer: 1 })
      const lost = await put(platform, 'a', 1, { 'if-none-match': '*' }).catch((error: Error) => error)
      expect(lost).to.be.instanceOf(Error)
      expect(await getJson(platform, '/objects/a')).to.deep.equal({ key: 'a', version: 1, value: 1 })
    })
  })

  it('should deliver an old version late under the fault replayOldEvents', async () => {
    await withPlatform({}, async platform => {
      await put(platform, 'a', 1, { 'if-none-match': '*' })
      await put(platform, 'a', 2, { 'if-match': '1' })
      await platform.setFaults({ replayOldEvents: 1 })
      const batch = await getJson(platform, '/watch?prefix=a&after=1&timeoutMs=0') as { events: Array<{ object: { version: number } }> }
      expect(batch.events.map(event => event.object.version)).to.deep.equal([2, 1])
    })
  })

  it('should refuse calls above the rate limit and during an outage, and count them', async () => {
    await withPlatform({ readsPerSecond: 0.01 }, async platform => {
      const statuses = []
      for (let call = 0; call < 2; call++) statuses.push((await fetch(`${platform.url}/objects/a`)).status)
      expect(statuses).to.deep.equal([404, 429])
      await fetch(`${platform.url}/control/faults`, { method: 'POST', body: JSON.stringify({ outage: 'answer503' }) })
      expect((await put(platform, 'a', 1, { 'if-none-match': '*' })).status).to.equal(503)
      expect(platform.getCounters()).to.deep.include({ rateLimited: 1, byPrefix: { a: 3 } })
    })
  })

  it('should refuse connections during an outage and keep its objects', async () => {
    await withPlatform({}, async platform => {
      await put(platform, 'a', 1, { 'if-none-match': '*' })
      await platform.setFaults({ outage: 'refuse' })
      expect(await fetch(`${platform.url}/objects/a`).catch(() => 'refused')).to.equal('refused')
      await platform.setFaults({ outage: 'none' })
      expect(await getJson(platform, '/objects/a')).to.deep.include({ value: 1 })
    })
  })
})

async function withPlatform (options: PlatformOptions, test: (platform: PlatformServer) => Promise<void>): Promise<void> {
  const platform = await startPlatform(options)
  try {
    await test(platform)
  } finally {
    await platform.close()
  }
}

async function put (platform: PlatformServer, key: string, value: unknown, headers: Record<string, string>): Promise<Response> {
  return await fetch(`${platform.url}/objects/${key}`, { method: 'PUT', headers, body: JSON.stringify(value) })
}

async function getJson (platform: PlatformServer, path: string): Promise<unknown> {
  return await (await fetch(platform.url + path)).json()
}
