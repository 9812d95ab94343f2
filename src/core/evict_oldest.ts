/** Removes the oldest entry of a map that has more than `limit`. */
export function evictOldest<Key, Value>(
  map: Map<Key, Value>,
  limit: number,
): void {
  const oldest = map.keys().next().value;
  if (map.size > limit && oldest !== undefined) map.delete(oldest);
}
