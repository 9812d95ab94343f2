const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const NOT_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;

/** Whether a text is a token (RFC 9110, 5.6.2), as methods and header names are. */
export function isToken(text: string): boolean {
  return TOKEN.test(text);
}

/** Whether a header value has only characters that may be sent. */
export function isHeaderValue(text: string): boolean {
  return !NOT_IN_VALUE.test(text);
}

/** Whether one of the headers, given as alternating names and values, may not be sent; parsers of some releases are laxer. */
export function hasInvalidHeader(rawHeaders: readonly string[]): boolean {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (!isToken(rawHeaders[i]!) || !isHeaderValue(rawHeaders[i + 1]!)) {
      return true;
    }
  }
  return false;
}

/** Values of all headers of one name, which is given in lower case. */
export function headerValues(
  rawHeaders: readonly string[],
  name: string,
): readonly string[] {
  const values: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]!.toLowerCase() === name) values.push(rawHeaders[i + 1]!);
  }
  return values;
}

/** Headers without those of one name, which is given in lower case. */
export function withoutHeader(
  rawHeaders: readonly string[],
  name: string,
): readonly string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]!.toLowerCase() === name) continue;
    kept.push(rawHeaders[i]!, rawHeaders[i + 1]!);
  }
  return kept;
}
