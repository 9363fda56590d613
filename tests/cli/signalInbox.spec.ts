import { EventEmitter } from 'node:events'

import { expect } from 'chai'

import { SignalInbox } from '../../src/cli/signalInbox'

const PID = 4711

describe('signals of a program', () => {
  let source: EventEmitter & { pid: number, kill: (pid: number, signal: string) => void }
  let killed: unknown[]

  beforeEach(() => {
    killed = []
    source = Object.assign(new EventEmitter(), { pid: PID, kill: (pid: number, signal: string) => { killed.push([pid, signal]) } })
  })

  // signals that arrived while the program was loading were once lost
  it('should reach the receiver that comes later, in their order', () => {
    const inbox = new SignalInbox(source)
    const received: string[] = []
    for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM']) source.emit(signal)
    inbox.attach(signal => received.push(signal))
    source.emit('SIGUSR2')
    expect(received).to.deep.equal(['SIGHUP', 'SIGINT', 'SIGTERM', 'SIGUSR2'])
  })

  // a flood while the program is loading must neither grow without a limit nor hide a stop signal
  it('should be held in a bounded number, none of them missing', () => {
    const inbox = new SignalInbox(source)
    const received: string[] = []
    for (let sent = 0; sent < 10_000; sent++) source.emit('SIGUSR2')
    source.emit('SIGTERM')
    inbox.attach(signal => received.push(signal))
    expect(received.length).to.be.below(100)
    expect(received.at(-1)).to.equal('SIGTERM')
  })

  // Ctrl-C on a command at a desk must end it, also while it is loading
  it('should have their default actions once they are released', async () => {
    const inbox = new SignalInbox(source)
    source.emit('SIGINT')
    inbox.release()
    expect(killed).to.deep.equal([[PID, 'SIGINT']])
    expect(source.listenerCount('SIGINT')).to.equal(0)
  })

  // the runtime delivers what arrived during the load in the first turn of the event loop
  it('should have their default actions also when they are delivered after the release', async () => {
    const inbox = new SignalInbox(source)
    inbox.release()
    source.emit('SIGTERM')
    expect(killed).to.deep.equal([[PID, 'SIGTERM']])
    await new Promise(resolve => setImmediate(resolve))
    expect(source.listenerCount('SIGTERM')).to.equal(0)
  })
})
