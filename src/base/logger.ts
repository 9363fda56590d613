import { Logger } from 'tslog'

/** Fields that tie a log line to one attempt of one request. */
export interface RequestFields {
  requestId: string
  attemptId?: string
  workspace?: string
  className?: string
}

/** How much a process logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

const LEVEL_NUMBERS: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5, silent: 6 }

/** Creates the structured logger of one process; one JSON object a line on standard output. */
export function createLogger (name: string, level: LogLevel = 'info'): Logger<unknown> {
  return new Logger({ name, minLevel: LEVEL_NUMBERS[level], type: level === 'silent' ? 'hidden' : 'json', hideLogPositionForProduction: true })
}
