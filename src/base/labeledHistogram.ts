import { Int32Histogram } from 'hdr-histogram-js'

import { formatLabels, LabelSets } from './labelSets'

import type { Labels } from './labelSets'

const US_PER_MS = 1000
const MAX_RECORDED_US = 600_000_000
const SIGNIFICANT_DIGITS = 2

/** Upper bounds of the exported buckets, in milliseconds. */
const BUCKET_BOUNDS_MS = [0.5, 1, 2, 5, 10, 20, 35, 53, 75, 100, 150, 250, 400, 710, 1000, 2000, 5000, 10_000, 30_000, 60_000, 300_000]

/** Count, mean and percentiles of one series, in milliseconds. */
export interface HistogramSummary {
  labels: Labels
  count: number
  meanMs: number
  p50Ms: number
  p95Ms: number
  p99Ms: number
  maxMs: number
}

interface Series {
  histogram: Int32Histogram
  sumMs: number
}

/** Histograms of durations in milliseconds, one for each set of labels. */
export class LabeledHistogram {
  readonly #seriesByLabels = new LabelSets<Series>(createSeries)

  /**
   * Records one duration.
   *
   * @example
   * firstToken.record(412.5, { class: 'panel' })
   */
  record (milliseconds: number, labels: Labels = {}): void {
    const series = this.#seriesByLabels.getOrCreate(labels)
    const value = Math.max(0, milliseconds)
    series.histogram.recordValue(Math.min(MAX_RECORDED_US, Math.round(value * US_PER_MS)))
    series.sumMs += value
  }

  /** Renders the series as Prometheus histograms. */
  format (name: string): string[] {
    return this.#seriesByLabels.list().flatMap(({ labels, item }) => formatSeries(name, labels, item))
  }

  readSummaries (): HistogramSummary[] {
    return this.#seriesByLabels.list().map(({ labels, item }) => computeSummary(labels, item))
  }
}

function createSeries (): Series {
  const histogram = new Int32Histogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
  return { histogram, sumMs: 0 }
}

function formatSeries (name: string, labels: Labels, series: Series): string[] {
  const counts = countUpToBounds(series.histogram)
  const total = series.histogram.totalCount
  return [
    ...BUCKET_BOUNDS_MS.map((bound, index) => `${name}_bucket${formatLabels({ ...labels, le: String(bound) })} ${counts[index]}`),
    `${name}_bucket${formatLabels({ ...labels, le: '+Inf' })} ${total}`,
    `${name}_sum${formatLabels(labels)} ${series.sumMs}`,
    `${name}_count${formatLabels(labels)} ${total}`
  ]
}

function countUpToBounds (histogram: Int32Histogram): number[] {
  const counts = BUCKET_BOUNDS_MS.map(() => 0)
  const iterator = histogram.recordedValuesIterator
  iterator.reset()
  while (iterator.hasNext()) {
    const step = iterator.next()
    const first = BUCKET_BOUNDS_MS.findIndex(bound => step.valueIteratedTo <= bound * US_PER_MS)
    if (first === -1) continue
    for (let index = first; index < counts.length; index++) counts[index]! += step.countAddedInThisIterationStep
  }
  return counts
}

function computeSummary (labels: Labels, { histogram, sumMs }: Series): HistogramSummary {
  const count = histogram.totalCount
  const readMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / US_PER_MS
  const meanMs = count === 0 ? 0 : sumMs / count
  return { labels, count, meanMs, p50Ms: readMs(50), p95Ms: readMs(95), p99Ms: readMs(99), maxMs: count === 0 ? 0 : histogram.maxValue / US_PER_MS }
}
