import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { type PromptRecord, wasInTime, wasRefused } from "./prompt_record.ts";
import type { RunResult } from "./run.ts";
import { textOf } from "./text.ts";

const WIDTH = 860;
const HEIGHT = 300;
const MARGIN = 46;
const BIN_MS = 5_000;
const MIN_TOKENS = 1_000;
const MAX_TOKENS = 1_000_000;
const MIN_TTFT_MS = 10;
const MAX_TTFT_MS = 600_000;
const TARGET_TTFT_MS = 340;

/** Writes a page with the figures and two plots into a folder. */
export function writeReport(folder: string, result: RunResult): void {
  mkdirSync(folder, { recursive: true });
  const { scenario, policy, seed, load, faults } = result.summary;
  const name = `${scenario}-${policy}-${load}-${faults}-${seed}.html`;
  writeFileSync(join(folder, name), pageOf(result));
}

/** Returns a self-contained page. */
export function pageOf(result: RunResult): string {
  const { summary, records, startedAt } = result;
  const measured = records.filter((one) => one.arrival.measured);
  const title = `${summary.scenario}, ${summary.policy}, seed ${summary.seed}`;
  return `<!doctype html><html lang="en"><head><meta charset="utf-8">
<title>${title}</title>
<style>body{font:14px sans-serif;margin:2em}text{font-size:11px}</style>
</head><body><h1>${title}</h1>
<h2>Time to first token by prompt length</h2>${ttftPlot(measured)}
<h2>Service over time</h2>${servicePlot(measured, startedAt)}
<pre>${textOf(summary)}</pre></body></html>
`;
}

function ttftPlot(records: readonly PromptRecord[]): string {
  const dots = records.flatMap(({ arrival, firstTokenAt, sentAt }) => {
    if (firstTokenAt === undefined) return [];
    const x = logX(arrival.promptTokens);
    const y = logY(firstTokenAt - sentAt);
    return [`<circle cx="${x}" cy="${y}" r="1.2" fill="#27c"/>`];
  });
  const target = logY(TARGET_TTFT_MS);
  const ticksX = [1_000, 10_000, 100_000, 1_000_000].map((tokens) =>
    label(logX(tokens), HEIGHT - 8, `${tokens / 1_000}k tokens`)
  );
  const ticksY = [10, 100, 1_000, 10_000, 100_000].map((ms) =>
    label(2, logY(ms), `${ms} ms`)
  );
  const line =
    `<line x1="${MARGIN}" x2="${WIDTH}" y1="${target}" y2="${target}" stroke="#c33"/>`;
  return svg([...dots, line, ...ticksX, ...ticksY]);
}

function servicePlot(
  records: readonly PromptRecord[],
  startedAt: number,
): string {
  const series = [
    { name: "offered", color: "#999", keep: () => true },
    { name: "in time", color: "#292", keep: wasInTime },
    { name: "refused", color: "#c33", keep: wasRefused },
  ].map((one) => ({
    ...one,
    counts: binned(records.filter(one.keep), startedAt),
  }));
  const top = Math.max(1, ...series.flatMap((one) => one.counts));
  const lines = series.map(({ counts, color }) => {
    const points = counts.map((count, i) => {
      const x = MARGIN + i / Math.max(1, counts.length - 1) * (WIDTH - MARGIN);
      const y = HEIGHT - 20 - count / top * (HEIGHT - 40);
      return `${x.toFixed(1)},${y.toFixed(1)}`;
    });
    return `<polyline points="${
      points.join(" ")
    }" fill="none" stroke="${color}"/>`;
  });
  const names = series.map(({ name, color }, i) =>
    label(MARGIN + 10 + i * 80, 14, name, color)
  );
  const perSecond = (top * 1_000 / BIN_MS).toFixed(1);
  return svg([...lines, ...names, label(2, 30, `${perSecond}/s`)]);
}

function binned(
  records: readonly PromptRecord[],
  startedAt: number,
): readonly number[] {
  const counts: number[] = [];
  for (const { sentAt } of records) {
    const bin = Math.floor((sentAt - startedAt) / BIN_MS);
    counts[bin] = (counts[bin] ?? 0) + 1;
  }
  return Array.from(counts, (count) => count ?? 0);
}

function svg(parts: readonly string[]): string {
  return `<svg width="${WIDTH}" height="${HEIGHT}" role="img">${
    parts.join("\n")
  }</svg>`;
}

function label(
  x: number | string,
  y: number | string,
  text: string,
  color = "#333",
): string {
  return `<text x="${x}" y="${y}" fill="${color}">${text}</text>`;
}

function logX(tokens: number): string {
  const part = Math.log(tokens / MIN_TOKENS) /
    Math.log(MAX_TOKENS / MIN_TOKENS);
  return (MARGIN + part * (WIDTH - MARGIN - 60)).toFixed(1);
}

function logY(ms: number): string {
  const part = Math.log(ms / MIN_TTFT_MS) / Math.log(MAX_TTFT_MS / MIN_TTFT_MS);
  return (HEIGHT - 20 - part * (HEIGHT - 40)).toFixed(1);
}
