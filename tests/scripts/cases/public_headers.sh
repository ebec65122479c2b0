# Checks that each public header compiles on its own and that each function in
# it has a kernel-doc comment with its name, parameters and return value.
out=$1/cases/public_headers
mkdir -p "$1/cases"
for header in include/chervilmast/*.h; do
	printf '#include "chervilmast/%s"\n' "$(basename "$header")" |
		cc -std=gnu11 -Wall -Wextra -Werror -Iinclude -fsyntax-only -xc - ||
		echo "$header does not compile alone"
done
[ -s include/chervilmast/node.h ] && echo 'headers compiled'

cat >"$out.awk" <<'END'
function check(text, comment,    name, list, count, i, parts, parameter) {
	name = text
	sub(/\(.*/, "", name)
	sub(/.*[ *]/, "", name)
	if (name !~ /^cm_/)
		return
	functions++
	if (index(comment, name "() - ") == 0) {
		print FILENAME ": " name ": no comment"
		return
	}
	if (text !~ /^(extern )?void [^*]/ && comment !~ /\n \* Return: /)
		print FILENAME ": " name ": return value not described"
	list = text
	sub(/^[^(]*\(/, "", list)
	sub(/\)[^)]*$/, "", list)
	if (list == "void")
		return
	count = split(list, parts, ",")
	for (i = 1; i <= count; i++) {
		parameter = parts[i]
		gsub(/\[[^]]*\]/, "", parameter)
		sub(/[ \t]+$/, "", parameter)
		sub(/.*[ *]/, "", parameter)
		if (index(comment, " * @" parameter ": ") == 0)
			print FILENAME ": " name ": @" parameter " not described"
	}
}
/^\/\*\*/ { comment = ""; inside = 1 }
inside { comment = comment "\n" $0 }
/\*\/$/ { inside = 0; next }
inside { next }
/^#/ { next }
/^(static inline|struct|enum|union) [^(]*[{;]$/ { text = ""; skip = /{$/; next }
skip { if (/^}/) skip = 0; next }
/^[a-z].*\(/ && text == "" { text = $0; if (/;$/) { check(text, comment); text = "" } next }
text != "" {
	line = $0
	sub(/^[ \t]+/, " ", line)
	text = text line
	if (/;$/) { check(text, comment); text = "" }
}
END { print (functions > 100 ? "functions checked" : "too few functions found: " functions) }
END
awk -f "$out.awk" include/chervilmast/*.h
