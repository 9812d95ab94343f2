/** FNV-1a hash of the UTF-16 code units, 32 bits. */
export function fnv1aHash(text: string): number {
  let value = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    value = Math.imul(value ^ text.charCodeAt(i), 0x01000193);
  }
  return value >>> 0;
}
