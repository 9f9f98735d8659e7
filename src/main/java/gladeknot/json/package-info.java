/** Reading and writing JSON as plain maps and lists, for the codecs; it depends on nothing else. */
package gladeknot.json;
