/** One line of a decision log. */
export interface LogLine {
  time: string
  instance: string
  event: string
  requestId?: string
  [field: string]: unknown
}

/** Log lines about one request. */
export interface RequestTimeline {
  /** Decisions on the request, in chronological order. */
  decisions: LogLine[]
  /** View changes of the same processes, from shortly before the first decision to the last one, that may have affected the request. */
  viewChanges: LogLine[]
  /** Whether lines may be missing, because a process dropped lines or the end of the request is not logged. */
  mayBeIncomplete: boolean
}

/** Period before the first decision, in milliseconds, whose view changes may still affect the request. */
const VIEW_CHANGES_BEFORE_MS = 5000
const VIEW_CHANGE_EVENTS = new Set(['endpointChanged', 'endpointEjected', 'endpointLeaving', 'endpointLimit', 'endpointQuiet', 'configInForce', 'versionsAssigned', 'configUnconfirmed', 'configConfirmed', 'crashBlamed', 'endpointExited', 'promptPartHoldBegun', 'promptPartHoldEnded', 'dependencyLost', 'dependencyRegained', 'started', 'signalReceived', 'stopping', 'drained', 'settingsReloaded', 'settingsRefused'])
const HEADER_FIELDS = new Set(['time', 'instance', 'event', 'requestId'])

/**
 * Parses log lines. Skips the text before the first brace, such as a collector's prefix, and lines
 * that are not decision log lines.
 */
export function parseLogLines (text: string): LogLine[] {
  return text.split('\n').flatMap(line => parseLogLine(line) ?? [])
}

/** Selects the lines about one request from the logs of several processes. */
export function selectTimeline (lines: LogLine[], requestId: string): RequestTimeline {
  const sorted = [...lines].sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
  const decisions = sorted.filter(line => line.requestId === requestId)
  if (decisions.length === 0) return { decisions, viewChanges: [], mayBeIncomplete: sorted.some(line => line.event === 'linesLeftOut') }
  const fromMs = Date.parse(decisions[0]!.time) - VIEW_CHANGES_BEFORE_MS
  const toMs = Date.parse(decisions.at(-1)!.time)
  const instances = new Set(decisions.map(line => line.instance))
  const nearby = sorted.filter(line => instances.has(line.instance) && Date.parse(line.time) >= fromMs && Date.parse(line.time) <= toMs)
  const endpoints = new Set(decisions.flatMap(line => [line.endpoint, line.endpointId].filter(id => typeof id === 'string')))
  const viewChanges = nearby.filter(line => VIEW_CHANGE_EVENTS.has(line.event) && (line.endpoint === undefined || endpoints.has(line.endpoint as string)))
  const hasEnd = decisions.some(line => line.event === 'requestEnded' || line.event === 'requestRefused')
  return { decisions, viewChanges, mayBeIncomplete: !hasEnd || nearby.some(line => line.event === 'linesLeftOut') }
}

/**
 * Formats a timeline for people, one line per event; view changes are marked with an asterisk.
 *
 * @example
 * formatTimeline(selectTimeline(parseLogLines(text), 'r-1'))
 * // 12:00:00.120 gateway-1 endpointChosen endpoint=e-1 reason=prefixHome costMs=12 ...
 */
export function formatTimeline (timeline: RequestTimeline): string {
  if (timeline.decisions.length === 0) return `No log line has this request id.${timeline.mayBeIncomplete ? ' Some lines were dropped under load.' : ''}`
  const lines = [...timeline.decisions, ...timeline.viewChanges].sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
  const text = lines.map(line => `${timeline.decisions.includes(line) ? ' ' : '*'} ${formatLine(line)}`)
  if (timeline.mayBeIncomplete) text.push('Lines of this request may be missing: its process dropped lines, or ended before the request did.')
  return text.join('\n')
}

function parseLogLine (line: string): LogLine | null {
  const start = line.indexOf('{')
  if (start === -1) return null
  try {
    const value = JSON.parse(line.slice(start)) as LogLine
    return typeof value.event === 'string' && typeof value.time === 'string' ? value : null
  } catch {
    return null
  }
}

function formatLine (line: LogLine): string {
  const fields = Object.entries(line).filter(([name]) => !HEADER_FIELDS.has(name)).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return [line.time.slice(11, 23), line.instance, line.event, ...fields].join(' ')
}
