/** Values that aren't JSON in text that is. */
import fc from "fast-check";
import { expect, test } from "vitest";
import { parseLeniently } from "../src/utils/lenientJson.js";

/** Whether there is any token in `value`; a list without one is empty. */
const isText = (value: string): boolean => value !== "";

const odd = [
    "Infinity",
    "-Infinity",
    "NaN",
    "01",
    "+1",
    "1.",
    "1e",
    "0x50",
    "undefined",
    "two words",
    "'text'",
    "",
    "\"\\x\"",
    "\"\\u12\"",
    "\"line\nbreak\"",
    "\"a\" \"b\"",
    "\"a\"b",
    "\ufeff",
];

for (const value of odd) {
    test(`value ${JSON.stringify(value)}`, () => {
        // Guards against one value that makes the objects beside it unreadable.
        const text = `{"items":[{"a":1},{"name":"b\\"}","c":${value}},{"d":[${value}]},{"e":"f"}],"g":true}`;
        expect(JSON.stringify(parseLeniently(text)))
            .toBe("{\"items\":[{\"a\":1},{\"name\":\"b\\\"}\",\"c\":null},{\"d\":[VALUE]},{\"e\":\"f\"}],\"g\":true}"
                .replace("VALUE", isText(value) ? "null" : ""));
    });
}

test("text before and behind values, and keys that aren't strings", () => {
    const parsed = parseLeniently("\ufeff{\"a\":[\ufeff{\"b\":1}x,{c:2}],\"d\\x\":3}\ufeff");
    expect(JSON.stringify(parsed)).toBe("{\"a\":[{\"b\":1},{\"\":2}],\"\":3}");
});

test("text that was cut", () => {
    // Guards against a list that counts as whole though its end is missing.
    const text = "{\"items\":[{\"a\":NaN,\"b\":\"c\"},{\"d\":[]}]}";
    for (let length = 0; length < text.length; length++) {
        expect(() => parseLeniently(text.slice(0, length))).toThrow();
    }
});

test("JSON is parsed as by JSON.parse", () => {
    fc.assert(
        fc.property(fc.jsonValue(), value => {
            const text = JSON.stringify(value, undefined, 1);
            expect(parseLeniently(`[${text},NaN]`)).toEqual(JSON.parse(`[${text},null]`));
        }),
        { seed: 1 },
    );
});

test("deep and long text", () => {
    // Guards against work that grows faster than the text, and against recursion.
    const depth = 200_000;
    const nested = `${"[".repeat(depth)}${"]".repeat(depth)}`;
    const parsed = parseLeniently(`{"a":${nested},"b":NaN,"c":[${"NaN,".repeat(200_000)}1],"d":2}`);
    expect(parsed).toMatchObject({ d: 2 });
});
