const MAX_DISTANCE = 4;

/** Returns the candidate with the smallest edit distance to a word, if it is at most `MAX_DISTANCE` and half the word's length, rounded up. */
export function nearest(
  word: string,
  candidates: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestDistance = Math.min(MAX_DISTANCE, Math.ceil(word.length / 2)) + 1;
  for (const candidate of candidates) {
    const distance = editDistance(word, candidate);
    if (distance >= bestDistance) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best;
}

/** Appends the nearest candidate, if any, to the text of allowed values. */
export function withHint(allowed: string, near: string | undefined): string {
  return near === undefined ? allowed : `${allowed} (nearest: ${near})`;
}

/** Levenshtein distance, one row at a time (Wagner and Fischer, 1974). */
function editDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let row = 1; row <= a.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= b.length; column += 1) {
      const substitutionCost = a[row - 1] === b[column - 1] ? 0 : 1;
      current[column] = Math.min(
        (previous[column] ?? 0) + 1,
        (current[column - 1] ?? 0) + 1,
        (previous[column - 1] ?? 0) + substitutionCost,
      );
    }
    previous = current;
  }
  return previous[b.length] ?? 0;
}
